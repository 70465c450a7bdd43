/**
 * @module Recording the prefixes that an endpoint holds.
 */
import type { Candidate } from "./candidate";
import { PREFIXES_PER_ENDPOINT } from "./constants";
import { dropPrefix } from "./dropPrefix";
import type { PrefixIndex } from "./prefixIndex";

/**
 * Records prefixes of an endpoint. Beyond `PREFIXES_PER_ENDPOINT` those recorded first are dropped. A dropped prefix
 * that is still in use is recorded again with its next request, which costs less than reordering all prefixes at each
 * request.
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
