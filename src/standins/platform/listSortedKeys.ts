/**
 * @module Listings of the platform stand-in.
 */
import { LARGEST_LISTING } from "../constants";

/**
 * Lists keys with a prefix in order, after a key, up to a limit.
 *
 * @param keys - All keys
 * @param query - `prefix`, `after` and `limit` as in the call's URL
 * @returns The keys
 * @example
 * listSortedKeys(["b", "a/1"], new URLSearchParams("prefix=a/")); //=> ["a/1"]
 */
export function listSortedKeys(keys: Iterable<string>, query: URLSearchParams): readonly string[] {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const limit = Math.min(LARGEST_LISTING, Number(query.get("limit") ?? LARGEST_LISTING));
    return [...keys]
        .filter(key => key.startsWith(prefix) && key > after)
        .sort()
        .slice(0, limit);
}
