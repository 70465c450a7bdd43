/**
 * @module Counting the cached blocks of a prompt at a candidate.
 */
import type { Candidate } from "./candidate";
import type { PrefixIndex } from "./prefixIndex";

/**
 * Counts the blocks of the latest query's prompt that a candidate is believed to hold in its cache.
 *
 * @param index - The index, after a call of `findCachedBlocks`
 * @param candidate - The endpoint
 * @returns Number of blocks
 * @example
 * countCachedBlocks(index, candidate);
 */
export function countCachedBlocks(index: PrefixIndex, candidate: Candidate): number {
    if (candidate.cachedBlocksQuery === index.query) {
        return candidate.cachedBlocks;
    }
    for (const { blocks, holders } of index.commonPrefixes) {
        if (holders.has(candidate)) {
            return blocks;
        }
    }
    return 0;
}
