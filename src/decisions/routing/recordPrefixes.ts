/**
 * @module Noting that an endpoint holds prefixes.
 */
import type { Candidate } from "./candidate";
import { PREFIXES_PER_ENDPOINT } from "./constants";
import { dropPrefix } from "./dropPrefix";
import type { PrefixIndex } from "./prefixIndex";

/**
 * Notes prefixes of an endpoint. Beyond the limit those noted first are forgotten; one that is still in use is noted
 * again with its next request, which costs less than moving all of them at each request.
 *
 * @param index - The index; changed in place
 * @param candidate - The endpoint
 * @param hashes - Prefix hashes, shortest first
 * @example
 * recordPrefixes(index, candidate, query.prefixHashes);
 */
export function recordPrefixes(index: PrefixIndex, candidate: Candidate, hashes: readonly string[]): void {
    let prefixes = index.prefixes.get(candidate);
    if (prefixes === undefined) {
        prefixes = new Set();
        index.prefixes.set(candidate, prefixes);
    }
    for (const hash of hashes) {
        if (prefixes.has(hash)) {
            continue;
        }
        prefixes.add(hash);
        const holders = index.holders.get(hash);
        if (holders === undefined) {
            index.holders.set(hash, new Set([candidate]));
        } else {
            holders.add(candidate);
        }
    }
    while (prefixes.size > PREFIXES_PER_ENDPOINT) {
        const [oldest] = prefixes;
        dropPrefix(index, candidate, oldest ?? "");
    }
}
