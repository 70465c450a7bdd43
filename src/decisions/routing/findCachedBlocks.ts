/**
 * @module Finding the candidates that hold a part of a prompt in their cache.
 */
import type { Candidate } from "./candidate";
import { MARKED_HOLDERS_LIMIT } from "./constants";
import type { PrefixIndex } from "./prefixIndex";

const NO_HOLDERS: ReadonlySet<Candidate> = new Set();

/**
 * Finds how many blocks of a prompt each candidate holds, and marks the candidates with the count under a new query
 * number. A candidate that holds a long prefix also holds the shorter ones, so a set of holders that is no larger than
 * that of a longer prefix contains no further candidate.
 *
 * @param index - The index; its query number and common prefixes are changed
 * @param hashes - Hashes of the prompt's prefixes, one per block, shortest first
 * @returns The candidates that hold the longest known prefix
 * @example
 * const holders = findCachedBlocks(index, query.prefixHashes);
 */
export function findCachedBlocks(index: PrefixIndex, hashes: readonly string[]): ReadonlySet<Candidate> {
    index.query++;
    index.commonPrefixes.length = 0;
    let longestPrefixHolders = NO_HOLDERS;
    let largestHolderCount = 0;
    for (let blocks = hashes.length; blocks > 0; blocks--) {
        const holders = index.holders.get(hashes[blocks - 1] ?? "");
        if (holders === undefined || holders.size <= largestHolderCount) {
            continue;
        }
        largestHolderCount = holders.size;
        longestPrefixHolders = longestPrefixHolders === NO_HOLDERS ? holders : longestPrefixHolders;
        if (holders.size > MARKED_HOLDERS_LIMIT) {
            index.commonPrefixes.push({ blocks, holders });
            continue;
        }
        for (const candidate of holders) {
            if (candidate.cachedBlocksQuery !== index.query) {
                candidate.cachedBlocksQuery = index.query;
                candidate.cachedBlocks = blocks;
            }
        }
    }
    return longestPrefixHolders;
}
