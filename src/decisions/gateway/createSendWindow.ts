/**
 * @module Bounds the requests to one endpoint in any window of time.
 */
import type { ColdPlan } from "./planColdShares";

/** The times of the last requests to one endpoint. */
export interface SendWindow {
    /** Computes the time until a request may be sent by a plan; 0 if one may be sent now, infinite if none may at all. */
    computeWaitMs(plan: ColdPlan, nowMs: number): number;
    /** Records that a request is sent. */
    recordSend(nowMs: number): void;
    /** Tells whether no request was sent within a time. */
    isUnused(withinMs: number, nowMs: number): boolean;
}

/** Most times that are kept; more requests in a window than this count as this many. */
const SENDS_KEPT_MAX = 1_000;

/**
 * Creates the window of an endpoint that was sent nothing yet.
 *
 * @returns The window
 * @example
 * if (window.computeWaitMs(plan, nowMs) === 0) { window.recordSend(nowMs); }
 */
export function createSendWindow(): SendWindow {
    let sentAtMs: number[] = [];
    return {
        computeWaitMs: ({ perWindow, windowMs }, nowMs) => {
            if (perWindow < 1) {
                return Number.POSITIVE_INFINITY;
            }
            const oldest = sentAtMs.at(-Math.min(perWindow, SENDS_KEPT_MAX));
            return oldest === undefined || sentAtMs.length < perWindow ? 0 : Math.max(0, oldest + windowMs - nowMs);
        },
        recordSend: nowMs => {
            sentAtMs.push(nowMs);
            if (sentAtMs.length > 2 * SENDS_KEPT_MAX) {
                sentAtMs = sentAtMs.slice(-SENDS_KEPT_MAX);
            }
        },
        isUnused: (withinMs, nowMs) => nowMs - (sentAtMs.at(-1) ?? Number.NEGATIVE_INFINITY) >= withinMs,
    };
}
