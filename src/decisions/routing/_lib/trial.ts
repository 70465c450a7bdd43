/**
 * @module Trials of removed endpoints and routes.
 */
import type { Candidate } from "../candidate";
import { findRoute } from "./findRoute";

/** Notes that an attempt is sent; gives whether it is a trial of the endpoint or of its route. */
export function beginTrial(candidate: Candidate, route: string): boolean {
    const onRoute = findRoute(candidate, route);
    const isTrial = candidate.outcomes.isOnTrial || onRoute?.isOnTrial === true;
    if (isTrial) {
        setTrialRunning(candidate, route, true);
    }
    return isTrial;
}

/** Notes that a trial has ended, however it did. */
export function endTrial(candidate: Candidate, route: string): void {
    setTrialRunning(candidate, route, false);
}

function setTrialRunning(candidate: Candidate, route: string, isRunning: boolean): void {
    const onRoute = findRoute(candidate, route);
    candidate.outcomes.isTrialRunning = isRunning;
    if (onRoute !== undefined) {
        onRoute.isTrialRunning = isRunning;
    }
}
