/**
 * @module Trial attempts at removed endpoints and routes.
 */
import type { Candidate } from "../candidate";
import { findRouteOutcomes } from "./routeOutcomes";

/** Marks a trial as running if the endpoint or its route is on trial; returns whether the attempt is a trial. */
export function beginTrial(candidate: Candidate, route: string): boolean {
    const routeOutcomes = findRouteOutcomes(candidate, route);
    const isTrial = candidate.outcomes.isOnTrial || routeOutcomes?.isOnTrial === true;
    if (isTrial) {
        setTrialRunning(candidate, route, true);
    }
    return isTrial;
}

/** Marks the trial as ended, whatever its outcome. */
export function endTrial(candidate: Candidate, route: string): void {
    setTrialRunning(candidate, route, false);
}

function setTrialRunning(candidate: Candidate, route: string, isRunning: boolean): void {
    const routeOutcomes = findRouteOutcomes(candidate, route);
    candidate.outcomes.isTrialRunning = isRunning;
    if (routeOutcomes !== undefined) {
        routeOutcomes.isTrialRunning = isRunning;
    }
}
