/**
 * @module Resolves the regions whose endpoints may get a request.
 */

/**
 * Resolves the home regions of a request from those of its route and its account.
 *
 * @param ofRoute - Home regions of the route; absent or empty: all regions
 * @param ofAccount - Home regions of the account, likewise
 * @returns The regions in both lists, which may be none; `undefined` if neither list restricts the request
 * @example
 * resolveHomeRegions(["east", "west"], ["west"]); //=> ["west"]
 */
export function resolveHomeRegions(
    ofRoute: readonly string[] | undefined,
    ofAccount: readonly string[] | undefined,
): readonly string[] | undefined {
    const route = ofRoute?.length === 0 ? undefined : ofRoute;
    const account = ofAccount?.length === 0 ? undefined : ofAccount;
    return route === undefined || account === undefined
        ? (route ?? account)
        : route.filter(region => account.includes(region));
}
