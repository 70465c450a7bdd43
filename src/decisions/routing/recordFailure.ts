/**
 * @module Taking in a failure.
 */
import { ensureRoute, findRoute } from "./_lib/findRoute";
import { hasRoomForRemoval, isRemoved, setRemoved } from "./_lib/removal";
import type { Candidate, OutcomeRecord } from "./candidate";
import {
    ATTEMPTS_UNTIL_SHARE_COUNTS,
    FAILURE_SHARE_UNTIL_REMOVAL,
    FAILURES_UNTIL_REMOVAL,
    OUTCOME_FADE,
} from "./constants";

/** What a failure led to. */
export enum Removal {
    None = "none",
    /** The endpoint gets nothing on one route for some time. */
    Route = "route",
    /** The endpoint gets nothing for some time. */
    Endpoint = "endpoint",
}

/**
 * Records that an attempt failed by the endpoint's fault, and removes the endpoint, or only the route, when failures
 * pile up. If another route of the endpoint has succeeded since this one began to fail, the fault is the route's. No
 * more than a share of the service's endpoints is removed: if more fail, the fault is not theirs alone, and some of
 * them are better than none.
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
    const onRoute = ensureRoute(candidate, route);
    applyFailure(candidate.outcomes, nowMs);
    applyFailure(onRoute, nowMs);
    if (hasOtherWorkingRoute(candidate, onRoute)) {
        return isFailing(onRoute) ? removeRoute(candidate, route, onRoute, peers, nowMs) : Removal.None;
    }
    if (!isFailing(candidate.outcomes)) {
        return Removal.None;
    }
    const isAgain = isRemoved(candidate.outcomes);
    if (!isAgain && !hasRoomForRemoval(peers, peer => peer.outcomes)) {
        return Removal.None;
    }
    setRemoved(candidate.outcomes, nowMs);
    return Removal.Endpoint;
}

function applyFailure(outcomes: OutcomeRecord, nowMs: number): void {
    outcomes.failingSinceMs = outcomes.failuresInRow === 0 ? nowMs : outcomes.failingSinceMs;
    outcomes.failuresInRow++;
    outcomes.recentSuccesses *= OUTCOME_FADE;
    outcomes.recentFailures = outcomes.recentFailures * OUTCOME_FADE + 1;
}

function hasOtherWorkingRoute(candidate: Candidate, onRoute: OutcomeRecord): boolean {
    for (const other of candidate.routes.values()) {
        if (other !== onRoute && other.lastSuccessAtMs > onRoute.failingSinceMs) {
            return true;
        }
    }
    return false;
}

function removeRoute(
    candidate: Candidate,
    route: string,
    onRoute: OutcomeRecord,
    peers: readonly Candidate[],
    nowMs: number,
): Removal {
    const isAgain = isRemoved(onRoute);
    if (!isAgain && !hasRoomForRemoval(peers, peer => findRoute(peer, route))) {
        return Removal.None;
    }
    candidate.removedRoutes += isAgain ? 0 : 1;
    setRemoved(onRoute, nowMs);
    return Removal.Route;
}

function isFailing(outcomes: OutcomeRecord): boolean {
    if (isRemoved(outcomes)) {
        return outcomes.isOnTrial;
    }
    const attempts = outcomes.recentFailures + outcomes.recentSuccesses;
    const isShareHigh =
        attempts >= ATTEMPTS_UNTIL_SHARE_COUNTS && outcomes.recentFailures > attempts * FAILURE_SHARE_UNTIL_REMOVAL;
    return isShareHigh || outcomes.failuresInRow >= FAILURES_UNTIL_REMOVAL;
}
