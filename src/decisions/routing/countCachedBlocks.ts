/**
 * @module How much of a prompt a candidate holds.
 */
import type { Candidate } from "./candidate";
import type { PrefixIndex } from "./prefixIndex";

/**
 * Counts the blocks of the newest query's prompt that a candidate is believed to hold.
 *
 * @param index - The index, after `findCachedBlocks`
 * @param candidate - The endpoint
 * @returns Blocks; 0 if none
 * @example
 * countCachedBlocks(index, candidate);
 */
export function countCachedBlocks(index: PrefixIndex, candidate: Candidate): number {
    if (candidate.cachedQuery === index.query) {
        return candidate.cachedBlocks;
    }
    for (const { blocks, holders } of index.common) {
        if (holders.has(candidate)) {
            return blocks;
        }
    }
    return 0;
}
