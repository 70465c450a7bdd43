/**
 * @module Dropping an endpoint's prefixes.
 */
import type { Candidate } from "./candidate";
import { dropPrefix } from "./dropPrefix";
import type { PrefixIndex } from "./prefixIndex";

/**
 * Drops a share of an endpoint's prefixes from the index, in the order in which they were recorded.
 *
 * @param index - The index; changed in place
 * @param candidate - The endpoint
 * @param share - Share to drop, 0 to 1 (default: 1, for an endpoint that is gone)
 * @example
 * dropEndpointPrefixes(index, candidate);
 */
export function dropEndpointPrefixes(index: PrefixIndex, candidate: Candidate, share = 1): void {
    const prefixes = [...(index.prefixes.get(candidate) ?? [])];
    for (const hash of prefixes.slice(0, Math.ceil(prefixes.length * share))) {
        dropPrefix(index, candidate, hash);
    }
    if (share === 1) {
        index.prefixes.delete(candidate);
    }
}
