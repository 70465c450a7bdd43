/**
 * @module Recording failures of attempts.
 */
import { ensureRouteOutcomes, findRouteOutcomes } from "./_lib/routeOutcomes";
import { isRemovalAllowed, isRemoved, setRemoved } from "./_lib/removal";
import type { Candidate, OutcomeRecord } from "./candidate";
import {
    FAILURE_RATE_MINIMUM_ATTEMPTS,
    FAILURE_RATE_UNTIL_REMOVAL,
    CONSECUTIVE_FAILURES_UNTIL_REMOVAL,
    OUTCOME_DECAY,
} from "./constants";

/** What was removed as a result of a failure. */
export enum Removal {
    None = "none",
    /** The endpoint receives no attempts on one route for some time. */
    Route = "route",
    /** The endpoint receives no attempts for some time. */
    Endpoint = "endpoint",
}

/**
 * Records that an attempt failed because of its endpoint, and removes the endpoint, or only the route, after repeated
 * failures. Only the route is removed if another route of the endpoint has succeeded since this one began to fail. At
 * most `REMOVABLE_SHARE` of the service's endpoints are removed at once: if more fail, the cause is probably not the
 * endpoints alone, and failing endpoints are better than none.
 *
 * @param candidate - The endpoint; changed in place
 * @param route - The attempt's route
 * @param peers - All endpoints of the service, this one included
 * @param nowMs - Now, in monotonic milliseconds
 * @returns What was removed
 * @example
 * const removal = recordFailure(candidate, route, service.candidates, nowMs);
 */
export function recordFailure(
    candidate: Candidate,
    route: string,
    peers: readonly Candidate[],
    nowMs: number,
): Removal {
    const routeOutcomes = ensureRouteOutcomes(candidate, route);
    applyFailure(candidate.outcomes, nowMs);
    applyFailure(routeOutcomes, nowMs);
    if (hasOtherWorkingRoute(candidate, routeOutcomes)) {
        return isFailing(routeOutcomes) ? removeRoute(candidate, route, routeOutcomes, peers, nowMs) : Removal.None;
    }
    if (!isFailing(candidate.outcomes)) {
        return Removal.None;
    }
    const isAlreadyRemoved = isRemoved(candidate.outcomes);
    if (!isAlreadyRemoved && !isRemovalAllowed(peers, peer => peer.outcomes)) {
        return Removal.None;
    }
    setRemoved(candidate.outcomes, nowMs);
    return Removal.Endpoint;
}

function applyFailure(outcomes: OutcomeRecord, nowMs: number): void {
    outcomes.failingSinceMs = outcomes.consecutiveFailures === 0 ? nowMs : outcomes.failingSinceMs;
    outcomes.consecutiveFailures++;
    outcomes.recentSuccesses *= OUTCOME_DECAY;
    outcomes.recentFailures = outcomes.recentFailures * OUTCOME_DECAY + 1;
}

/** Tells whether another route of the endpoint has succeeded since this one began to fail. */
function hasOtherWorkingRoute(candidate: Candidate, routeOutcomes: OutcomeRecord): boolean {
    for (const other of candidate.routes.values()) {
        if (other !== routeOutcomes && other.lastSuccessAtMs > routeOutcomes.failingSinceMs) {
            return true;
        }
    }
    return false;
}

function removeRoute(
    candidate: Candidate,
    route: string,
    routeOutcomes: OutcomeRecord,
    peers: readonly Candidate[],
    nowMs: number,
): Removal {
    const isAlreadyRemoved = isRemoved(routeOutcomes);
    if (!isAlreadyRemoved && !isRemovalAllowed(peers, peer => findRouteOutcomes(peer, route))) {
        return Removal.None;
    }
    candidate.removedRoutes += isAlreadyRemoved ? 0 : 1;
    setRemoved(routeOutcomes, nowMs);
    return Removal.Route;
}

function isFailing(outcomes: OutcomeRecord): boolean {
    if (isRemoved(outcomes)) {
        return outcomes.isOnTrial;
    }
    const attempts = outcomes.recentFailures + outcomes.recentSuccesses;
    const isFailureRateHigh =
        attempts >= FAILURE_RATE_MINIMUM_ATTEMPTS && outcomes.recentFailures > attempts * FAILURE_RATE_UNTIL_REMOVAL;
    return isFailureRateHigh || outcomes.consecutiveFailures >= CONSECUTIVE_FAILURES_UNTIL_REMOVAL;
}
