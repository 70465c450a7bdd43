/**
 * @module Sliding-window counters.
 */

const BUCKET_COUNT = 32;

/**
 * Sums amounts over the last `windowMs`. The oldest bucket counts in full, so the sum is never below the exact one and
 * may be above it by up to one bucket.
 */
export interface SlidingWindowCounter {
    /** Adds an amount at a time; one before the last call's counts at that time, or not at all if it has left the window. */
    add(amount: number, atMs: number): void;
    sum(nowMs: number): number;
}

/**
 * Creates an empty counter.
 *
 * @param windowMs - Length of the window in milliseconds
 * @returns The counter; only its owner may change it
 * @example
 * const requests = createSlidingWindowCounter(10_000);
 * requests.add(1, nowMs);
 */
export function createSlidingWindowCounter(windowMs: number): SlidingWindowCounter {
    const bucketMs = windowMs / (BUCKET_COUNT - 1);
    const amounts = new Float64Array(BUCKET_COUNT);
    let newest = Number.NEGATIVE_INFINITY;
    let total = 0;
    const advance = (nowMs: number) => {
        const bucket = Math.floor(nowMs / bucketMs);
        if (bucket - newest >= BUCKET_COUNT) {
            amounts.fill(0);
            total = 0;
            newest = bucket;
            return;
        }
        while (newest < bucket) {
            newest++;
            const slot = newest % BUCKET_COUNT;
            total -= amounts[slot] ?? 0;
            amounts[slot] = 0;
        }
    };
    return {
        add: (amount, atMs) => {
            advance(atMs);
            const bucket = Math.floor(atMs / bucketMs);
            if (newest - bucket < BUCKET_COUNT) {
                amounts[bucket % BUCKET_COUNT] = (amounts[bucket % BUCKET_COUNT] ?? 0) + amount;
                total += amount;
            }
        },
        sum: nowMs => {
            advance(nowMs);
            return total;
        },
    };
}
