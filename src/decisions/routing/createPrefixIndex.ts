/**
 * @module Creating prefix indexes.
 */
import type { PrefixIndex } from "./prefixIndex";

/**
 * Creates an empty index.
 *
 * @returns The index
 * @example
 * const index = createPrefixIndex();
 */
export function createPrefixIndex(): PrefixIndex {
    return { holders: new Map(), prefixes: new Map(), query: 0, commonPrefixes: [] };
}
