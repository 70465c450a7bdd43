/**
 * @module Computes when the next step of an ordered move is due.
 */
import { planRollout } from "./planRollout";

/**
 * Computes the time until the next decision on a move is due: its shift, its end, the end of a late shift, its deadline.
 *
 * @param durationMs - Length of the order
 * @param elapsedMs - Time since the order
 * @returns The time in milliseconds; `undefined` after the deadline
 * @example
 * computeNextStepMs(20_000, 18_700); //=> 100
 */
export function computeNextStepMs(durationMs: number, elapsedMs: number): number | undefined {
    const { shiftMs, endMs } = planRollout(durationMs);
    const lateEndMs = (endMs + durationMs) / 2;
    const dueMs = [shiftMs, endMs, lateEndMs, durationMs].find(timeMs => timeMs > elapsedMs);
    return dueMs === undefined ? undefined : dueMs - elapsedMs;
}
