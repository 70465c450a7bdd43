/**
 * @module Which candidates hold how much of a prompt.
 */
import type { Candidate } from "./candidate";
import { NOTED_HOLDERS_LIMIT } from "./constants";
import type { PrefixIndex } from "./prefixIndex";

const NO_HOLDERS: ReadonlySet<Candidate> = new Set();

/**
 * Finds the blocks of a prompt that each candidate holds, and notes them in the candidates under a new query number.
 * Who holds a long prefix holds the shorter ones as well, so a set no larger than the one before has nothing to add.
 *
 * @param index - The index; its query number and common prefixes change
 * @param hashes - Hashes of the prompt's growing prefixes, shortest first
 * @returns The candidates that hold the longest known prefix
 * @example
 * const holders = findCachedBlocks(index, query.prefixHashes);
 */
export function findCachedBlocks(index: PrefixIndex, hashes: readonly string[]): ReadonlySet<Candidate> {
    index.query++;
    index.common.length = 0;
    let longest = NO_HOLDERS;
    let largestSet = 0;
    for (let blocks = hashes.length; blocks > 0; blocks--) {
        const holders = index.holders.get(hashes[blocks - 1] ?? "");
        if (holders === undefined || holders.size <= largestSet) {
            continue;
        }
        largestSet = holders.size;
        longest = longest === NO_HOLDERS ? holders : longest;
        if (holders.size > NOTED_HOLDERS_LIMIT) {
            index.common.push({ blocks, holders });
            continue;
        }
        for (const candidate of holders) {
            if (candidate.cachedQuery !== index.query) {
                candidate.cachedQuery = index.query;
                candidate.cachedBlocks = blocks;
            }
        }
    }
    return longest;
}
