/**
 * @module Queries of listings.
 */

/**
 * Formats the query of a listing.
 *
 * @param prefix - Keys begin with this
 * @param options - `after`: the last key of the page before; `limit`: most keys
 * @returns The query without the question mark
 * @example
 * formatListingQuery("job/", { limit: 10 }); //=> "prefix=job%2F&limit=10"
 */
export function formatListingQuery(
    prefix: string,
    options: { readonly after?: string; readonly limit?: number } = {},
): string {
    const query = new URLSearchParams({ prefix });
    if (options.after !== undefined) {
        query.set("after", options.after);
    }
    if (options.limit !== undefined) {
        query.set("limit", String(options.limit));
    }
    return query.toString();
}
