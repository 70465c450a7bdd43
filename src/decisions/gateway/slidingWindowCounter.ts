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
    /** Creates a counter with the same sums, which changes by itself from then on. */
    createCopy(): SlidingWindowCounter;
}

interface CounterState {
    readonly amounts: Float64Array;
    newest: number;
    total: number;
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
    const state = { amounts: new Float64Array(BUCKET_COUNT), newest: Number.NEGATIVE_INFINITY, total: 0 };
    return createCounter(windowMs, state);
}

function createCounter(windowMs: number, state: CounterState): SlidingWindowCounter {
    const bucketMs = windowMs / (BUCKET_COUNT - 1);
    const { amounts } = state;
    const advance = (nowMs: number) => {
        const bucket = Math.floor(nowMs / bucketMs);
        if (bucket - state.newest >= BUCKET_COUNT) {
            amounts.fill(0);
            state.total = 0;
            state.newest = bucket;
            return;
        }
        while (state.newest < bucket) {
            state.newest++;
            const slot = state.newest % BUCKET_COUNT;
            state.total -= amounts[slot] ?? 0;
            amounts[slot] = 0;
        }
    };
    return {
        add: (amount, atMs) => {
            advance(atMs);
            const bucket = Math.floor(atMs / bucketMs);
            if (state.newest - bucket < BUCKET_COUNT) {
                amounts[bucket % BUCKET_COUNT] = (amounts[bucket % BUCKET_COUNT] ?? 0) + amount;
                state.total += amount;
            }
        },
        sum: nowMs => {
            advance(nowMs);
            return state.total;
        },
        createCopy: () => createCounter(windowMs, { ...state, amounts: amounts.slice() }),
    };
}
