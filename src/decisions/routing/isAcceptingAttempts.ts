/**
 * @module Checking whether an endpoint, or a route of it, may receive attempts.
 */
import type { OutcomeRecord } from "./candidate";

/**
 * Tells whether attempts may be sent to an endpoint or route, judging by past outcomes.
 *
 * @param outcomes - The record of the endpoint or route
 * @returns True if it isn't removed, or if it is on trial and no trial attempt is in progress
 * @example
 * isAcceptingAttempts(candidate.outcomes);
 */
export function isAcceptingAttempts(outcomes: OutcomeRecord): boolean {
    return outcomes.removedUntilMs === -Infinity || (outcomes.isOnTrial && !outcomes.isTrialRunning);
}
