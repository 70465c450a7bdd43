/**
 * @module What callers were told, held against what was really executed.
 */

/** What a caller was told of one piece of work. */
export enum Told {
    Succeeded = "succeeded",
    NotRun = "not_run",
    Unknown = "unknown",
    Ran = "ran",
    /** The connection broke; the caller knows that it has no whole answer. */
    Broken = "broken",
}

/** Counts and violations of a soak. */
export interface SoakLedger {
    readonly streams: Map<Told, number>;
    readonly postings: Map<string, Told>;
    readonly jobs: Map<string, string>;
    readonly violations: string[];
    readonly tried: Map<string, number>;
}

/**
 * Creates an empty ledger.
 *
 * @returns The ledger; its owner fills it
 * @example
 * const ledger = createSoakLedger();
 */
export function createSoakLedger(): SoakLedger {
    return { streams: new Map(), postings: new Map(), jobs: new Map(), violations: [], tried: new Map() };
}

/**
 * Adds one to a count.
 *
 * @param counts - The counts
 * @param key - What to count
 * @example
 * addCount(ledger.tried, "kill");
 */
export function addCount<K>(counts: Map<K, number>, key: K): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
}
