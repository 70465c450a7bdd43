/**
 * @module Counts the requests that have arrived lately.
 */

/** Half-life of an arrival in the count. With 1 s the shares of nodes follow chance. */
const HALF_LIFE_MS = 3_000;
/** The count is given as if for this time, so that whole numbers tell small rates apart. */
const PERIOD_MS = 10_000;

/** The arrivals of a service at a node. */
export interface ArrivalCount {
    recordArrival(nowMs: number): void;
    /** Gives the arrivals in ten seconds, at the rate of the last seconds. */
    readArrivals(nowMs: number): number;
}

/**
 * Creates a count, without arrivals.
 *
 * @returns The count
 * @example
 * arrivals.recordArrival(nowMs);
 */
export function createArrivalCount(): ArrivalCount {
    let count = { value: 0, atMs: 0 };
    const computeValue = (nowMs: number) => count.value * 0.5 ** ((nowMs - count.atMs) / HALF_LIFE_MS);
    return {
        recordArrival: nowMs => {
            count = { value: computeValue(nowMs) + 1, atMs: nowMs };
        },
        readArrivals: nowMs => (computeValue(nowMs) * Math.LN2 * PERIOD_MS) / HALF_LIFE_MS,
    };
}
