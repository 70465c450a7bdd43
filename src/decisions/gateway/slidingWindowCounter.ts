/**
 * @module Counts over a sliding window.
 */

const BUCKETS = 32;

/** A sum over the last `windowMs`; the oldest bucket counts whole, so that the sum is never too low. */
export interface SlidingWindowCounter {
    add(amount: number, nowMs: number): void;
    sum(nowMs: number): number;
}

/**
 * Creates an empty count.
 *
 * @param windowMs - Length of the window in milliseconds
 * @returns The count; its owner alone changes it
 * @example
 * const sends = createSlidingCount(10_000);
 * sends.add(1, nowMs);
 */
export function createSlidingWindowCounter(windowMs: number): SlidingWindowCounter {
    const bucketMs = windowMs / (BUCKETS - 1);
    const amounts = new Float64Array(BUCKETS);
    let newest = Number.NEGATIVE_INFINITY;
    let total = 0;
    const advance = (nowMs: number) => {
        const bucket = Math.floor(nowMs / bucketMs);
        if (bucket - newest >= BUCKETS) {
            amounts.fill(0);
            total = 0;
            newest = bucket;
            return;
        }
        while (newest < bucket) {
            newest++;
            const slot = newest % BUCKETS;
            total -= amounts[slot] ?? 0;
            amounts[slot] = 0;
        }
    };
    return {
        add: (amount, nowMs) => {
            advance(nowMs);
            amounts[newest % BUCKETS] = (amounts[newest % BUCKETS] ?? 0) + amount;
            total += amount;
        },
        sum: nowMs => {
            advance(nowMs);
            return total;
        },
    };
}
