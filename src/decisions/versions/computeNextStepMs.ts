/**
 * @module Computes when the next step of an ordered move is due.
 */
import { planRollout } from "./planRollout";

/**
 * Computes the time until the next decision on a move is due: its shift, its end, the end of a late shift.
 *
 * @param durationMs - Length of the order
 * @param elapsedMs - Time since the order
 * @returns The time in milliseconds; `undefined` after them
 * @example
 * computeNextStepMs(20_000, 18_700); //=> 100
 */
export function computeNextStepMs(durationMs: number, elapsedMs: number): number | undefined {
    const { shiftMs, endMs, lateEndMs } = planRollout(durationMs);
    const dueMs = [shiftMs, endMs, lateEndMs].find(timeMs => timeMs > elapsedMs);
    return dueMs === undefined ? undefined : dueMs - elapsedMs;
}
