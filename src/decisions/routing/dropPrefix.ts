/**
 * @module Dropping a prefix of an endpoint.
 */
import type { Candidate } from "./candidate";
import type { PrefixIndex } from "./prefixIndex";

/**
 * Removes the record that an endpoint holds a prefix.
 *
 * @param index - The index; changed in place
 * @param candidate - The endpoint
 * @param hash - The prefix hash
 * @example
 * dropPrefix(index, candidate, event.prefixHash);
 */
export function dropPrefix(index: PrefixIndex, candidate: Candidate, hash: string): void {
    index.prefixes.get(candidate)?.delete(hash);
    const holders = index.holders.get(hash);
    holders?.delete(candidate);
    if (holders?.size === 0) {
        index.holders.delete(hash);
    }
}
