/**
 * @module Recording successes of attempts.
 */
import { ensureRouteOutcomes } from "./_lib/routeOutcomes";
import type { Candidate, OutcomeRecord } from "./candidate";
import { OUTCOME_DECAY } from "./constants";

/**
 * Records that an attempt succeeded. If the endpoint or the attempt's route is on trial, its removal ends.
 *
 * @param candidate - The endpoint; changed in place
 * @param route - The attempt's route
 * @param nowMs - Now, in monotonic milliseconds
 * @example
 * recordSuccess(candidate, "/v1/chat/completions", nowMs);
 */
export function recordSuccess(candidate: Candidate, route: string, nowMs: number): void {
    const routeOutcomes = ensureRouteOutcomes(candidate, route);
    candidate.removedRoutes -= routeOutcomes.isOnTrial ? 1 : 0;
    applySuccess(candidate.outcomes, nowMs);
    applySuccess(routeOutcomes, nowMs);
}

function applySuccess(outcomes: OutcomeRecord, nowMs: number): void {
    outcomes.consecutiveFailures = 0;
    outcomes.recentFailures *= OUTCOME_DECAY;
    outcomes.recentSuccesses = outcomes.recentSuccesses * OUTCOME_DECAY + 1;
    outcomes.lastSuccessAtMs = nowMs;
    if (outcomes.isOnTrial) {
        outcomes.isOnTrial = false;
        outcomes.removedUntilMs = -Infinity;
        outcomes.recentFailures = 0;
    }
}
