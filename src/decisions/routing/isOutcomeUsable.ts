/**
 * @module Whether an endpoint, or a route of it, may receive attempts.
 */
import type { OutcomeRecord } from "./candidate";

/**
 * Tells whether attempts may be sent, as far as past outcomes go.
 *
 * @param outcomes - The record of the endpoint or route
 * @param ownInFlight - Attempts in progress there; on trial only one at a time is sent
 * @returns True if it is neither removed nor busy with its trial
 * @example
 * isOutcomeUsable(candidate.outcomes, candidate.ownInFlight);
 */
export function isOutcomeUsable(outcomes: OutcomeRecord, ownInFlight: number): boolean {
    return outcomes.removedUntilMs === -Infinity || (outcomes.isOnTrial && ownInFlight === 0);
}
