/**
 * @module Taking in a success.
 */
import { ensureRoute } from "./_lib/findRoute";
import type { Candidate, OutcomeRecord } from "./candidate";
import { OUTCOME_FADE } from "./constants";

/**
 * Records that an attempt succeeded. It ends a trial of the endpoint, and of the route it was on.
 *
 * @param candidate - The endpoint; changed in place
 * @param route - The attempt's route
 * @param nowMs - Now, in monotonic milliseconds
 * @example
 * recordSuccess(candidate, "/v1/chat/completions", nowMs);
 */
export function recordSuccess(candidate: Candidate, route: string, nowMs: number): void {
    const onRoute = ensureRoute(candidate, route);
    candidate.removedRoutes -= onRoute.isOnTrial ? 1 : 0;
    applySuccess(candidate.outcomes, nowMs);
    applySuccess(onRoute, nowMs);
}

function applySuccess(outcomes: OutcomeRecord, nowMs: number): void {
    outcomes.failuresInRow = 0;
    outcomes.recentFailures *= OUTCOME_FADE;
    outcomes.recentSuccesses = outcomes.recentSuccesses * OUTCOME_FADE + 1;
    outcomes.lastSuccessAtMs = nowMs;
    if (outcomes.isOnTrial) {
        outcomes.isOnTrial = false;
        outcomes.removedUntilMs = -Infinity;
        outcomes.recentFailures = 0;
    }
}
