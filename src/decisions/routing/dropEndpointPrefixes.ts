/**
 * @module Forgetting an endpoint's prefixes.
 */
import type { Candidate } from "./candidate";
import { dropPrefix } from "./dropPrefix";
import type { PrefixIndex } from "./prefixIndex";

/**
 * Forgets a share of an endpoint's prefixes, those noted first going first.
 *
 * @param index - The index; changed in place
 * @param candidate - The endpoint
 * @param share - How much of them, 0 to 1 (default: all, for an endpoint that is gone)
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
