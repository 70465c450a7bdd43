/**
 * @module Computes when a node that was told to stop does what, from the time until the platform kills it.
 */

/** Times of a stop, in milliseconds after the signal. */
export interface StopTimes {
    /** Until then every request is taken; later ones only if they certainly end before `endsRequestsMs`. */
    readonly takesAllMs: number;
    /** Until then new connections may arrive. */
    readonly acceptsMs: number;
    /** Requests without a final answer get one: a failure that states whether they may have been run. */
    readonly endsRequestsMs: number;
    /** The process ends, whatever is still open. */
    readonly endsProcessMs: number;
}

/** Requests sent later than 3 s after the signal have to be ended by the node; less the time on the way to it. */
const TAKES_ALL_MS = 2_800;
const TAKES_ALL_SHARE = 0.35;
/** The load balancer checks the readiness each second, and sends no new connections after two misses. */
const ACCEPTS_MS = 3_500;
const ACCEPTS_SHARE = 0.44;
/** What is between these shares is the time to send the last answers, and for callers to receive them. */
const ENDS_REQUESTS_SHARE = 0.92;
const ENDS_PROCESS_SHARE = 0.97;

/**
 * Computes the times of a stop. A short grace time shortens all of them.
 *
 * @param graceMs - Time from the signal until the platform kills the process
 * @returns The times
 * @example
 * computeStopTimes(8_000).endsProcessMs; //=> 7_760
 */
export function computeStopTimes(graceMs: number): StopTimes {
    return {
        takesAllMs: Math.min(TAKES_ALL_MS, graceMs * TAKES_ALL_SHARE),
        acceptsMs: Math.min(ACCEPTS_MS, graceMs * ACCEPTS_SHARE),
        endsRequestsMs: graceMs * ENDS_REQUESTS_SHARE,
        endsProcessMs: graceMs * ENDS_PROCESS_SHARE,
    };
}
