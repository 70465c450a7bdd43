/**
 * @module Whether an endpoint, or a route of it, may receive attempts.
 */
import type { OutcomeRecord } from "./candidate";

/**
 * Tells whether attempts may be sent, as far as past outcomes go.
 *
 * @param outcomes - The record of the endpoint or route
 * @returns True if it is neither removed nor busy with its trial; on trial one attempt at a time is sent
 * @example
 * isOutcomeUsable(candidate.outcomes);
 */
export function isOutcomeUsable(outcomes: OutcomeRecord): boolean {
    return outcomes.removedUntilMs === -Infinity || (outcomes.isOnTrial && !outcomes.isTrialRunning);
}
