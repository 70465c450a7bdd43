/**
 * @module Plans the times of an ordered move of a service to another version.
 */

/** Times since the order, in milliseconds. */
export interface RolloutTimes {
    /** Time from which all requests go to the target, if it has shown no fault. */
    readonly shiftMs: number;
    /** Time at which the end of the move is written to the store. */
    readonly endMs: number;
    /** Time until which a shift that comes late may still begin. */
    readonly lateShiftMs: number;
    /** Time at which the end of a late shift is written to the store. */
    readonly lateEndMs: number;
}

/** Time before the deadline at which the end is written, as a share of the order's length. */
const END_MARGIN_SHARE = 0.035;
const END_MARGIN_MAX_MS = 2_000;
/** Time for which requests on endpoints of the old version may end before these are stopped. */
const SHIFT_SHARE = 0.025;
const SHIFT_MAX_MS = 10_000;
/** Times of a late shift, as shares of the time between the end and the deadline. */
const LATE_SHIFT_SHARE = 0.5;
const LATE_END_SHARE = 0.75;

/**
 * Plans the times. The target gets all requests for so short a time before the deadline that it stays within the bound
 * on the requests to a bad version even if it turns bad at that moment.
 *
 * @param durationMs - Length of the order
 * @returns The times
 * @example
 * planRollout(20_000); //=> { shiftMs: 18_800, endMs: 19_300, lateShiftMs: 19_650, lateEndMs: 19_825 }
 */
export function planRollout(durationMs: number): RolloutTimes {
    const endMs = durationMs - Math.min(END_MARGIN_MAX_MS, END_MARGIN_SHARE * durationMs);
    const marginMs = durationMs - endMs;
    return {
        shiftMs: endMs - Math.min(SHIFT_MAX_MS, SHIFT_SHARE * durationMs),
        endMs,
        lateShiftMs: endMs + LATE_SHIFT_SHARE * marginMs,
        lateEndMs: endMs + LATE_END_SHARE * marginMs,
    };
}
