/**
 * @module Decides whether an attempt that takes too long is given up for another endpoint.
 */
import type { GatewayRoute } from "../../model/gateway";
import { isRepeatable, MAX_SENDS } from "./decideNextAction";

/** The state of a request while an attempt waits. */
export interface WaitingState {
    /** Attempts before this one that may have been executed. */
    readonly executions: number;
    /** All attempts so far, including this one. */
    readonly sends: number;
    /** Time left before the timeout. */
    readonly remainingMs: number;
    /**
     * Estimates the time until another endpoint's response would begin; `undefined` if no reachable one is left that
     * can serve the request.
     */
    readonly estimateElsewhereMs: () => number | undefined;
    /** Charges the retry budget and returns whether it allowed the retry; called at most once, and last. */
    readonly chargeRetry: () => boolean;
}

/**
 * Decides whether to give an attempt up: only if another endpoint is there, and can be expected to answer in the time
 * left. Otherwise the attempt is the best that the request has.
 *
 * @param route - The request's route
 * @param state - What is known at this moment
 * @returns True if the attempt is to be given up; the retry is charged then
 * @example
 * if (decideGiveUp(route, state)) { ... }
 */
export function decideGiveUp(route: GatewayRoute, state: WaitingState): boolean {
    if (!isElsewherePermitted(route, state)) {
        return false;
    }
    const estimateMs = state.estimateElsewhereMs();
    return estimateMs !== undefined && estimateMs < state.remainingMs && state.chargeRetry();
}

/** Tells whether the route permits another attempt after the one that waits. */
function isElsewherePermitted(route: GatewayRoute, { executions, sends }: WaitingState): boolean {
    return isRepeatable(route) && executions + 1 < route.attemptsMax && sends < MAX_SENDS;
}
