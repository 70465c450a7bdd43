/**
 * @module Decides what happens to a request after an attempt at an endpoint has ended.
 */
import { type GatewayRoute, RouteKind } from "../../model/gateway";

/** How an attempt at an endpoint ended. */
export enum AttemptOutcome {
    /** The whole response was relayed to the caller. */
    Relayed = "relayed",
    /** A whole response was received, and no part of it was relayed yet. */
    Answered = "answered",
    /** The request's path or headers can't be sent to any endpoint. */
    Unsendable = "unsendable",
    /** No byte of the request can have reached the endpoint. */
    NotSent = "not_sent",
    /** The endpoint states that it did not execute the request. */
    NotExecuted = "not_executed",
    /** The request was sent, and no usable response arrived. */
    Lost = "lost",
    /** A stream broke after a part of it was relayed. */
    Broken = "broken",
    /** The caller closed its connection. */
    CallerGone = "caller_gone",
    /** The request's deadline passed while the endpoint was processing it. */
    TimedOut = "timed_out",
}

/** What to do after an attempt has ended. */
export enum NextAction {
    /** Nothing is left to do: the response was relayed, or the caller is gone. */
    Finish = "finish",
    /** Relay the response that was received. */
    Relay = "relay",
    /** Send the request to another endpoint. */
    SendAgain = "send_again",
    /** Tell the caller that the request was not executed. */
    Refuse = "refuse",
    /** Tell the caller that the outcome is unknown. */
    Fail = "fail",
    /** Close the caller's connection, since a part of the response was already relayed. */
    BreakOff = "break_off",
}

/** The state of a request after an attempt. */
export interface AttemptState {
    /** How the attempt ended. */
    readonly end: AttemptOutcome;
    /** Status of the response; `undefined` if none was received. */
    readonly status: number | undefined;
    /** Attempts so far that may have been executed, including this one. */
    readonly executions: number;
    /** All attempts so far, including this one. */
    readonly sends: number;
    /** True if the request may have crashed the endpoint and must not be repeated. */
    readonly mayHaveCrashed?: boolean;
    /** True if enough time is left before the deadline for another attempt. */
    readonly hasTime: boolean;
    /** Charges the retry budget and returns whether it allowed the retry; called at most once. */
    readonly chargeRetry: () => boolean;
}

/** Maximum number of attempts for one request, whatever their outcomes. */
export const MAX_SENDS = 4;

const FIRST_FAILURE_STATUS = 500;

/**
 * Decides what to do after an attempt has ended.
 *
 * @param route - The request's route
 * @param state - What is known after the attempt
 * @returns The next action
 * @example
 * decideNextAction(route, state) === NextAction.SendAgain;
 */
export function decideNextAction(route: GatewayRoute, state: AttemptState): NextAction {
    return DECISIONS[state.end](route, state);
}

/** Tells whether a status is a server error (5xx). */
export function isFailedStatus(status: number | undefined): boolean {
    return status !== undefined && status >= FIRST_FAILURE_STATUS;
}

/** Tells whether a request of the route may be executed more than once. */
export function isRepeatable(route: GatewayRoute): boolean {
    return route.kind === RouteKind.Idempotent || (route.kind === RouteKind.Streaming && route.isResumable);
}

const DECISIONS: Readonly<Record<AttemptOutcome, (route: GatewayRoute, state: AttemptState) => NextAction>> = {
    [AttemptOutcome.Relayed]: () => NextAction.Finish,
    [AttemptOutcome.CallerGone]: () => NextAction.Finish,
    [AttemptOutcome.Answered]: (route, state) => {
        return isFailedStatus(state.status) && isRetryAllowed(route, state) ? NextAction.SendAgain : NextAction.Relay;
    },
    [AttemptOutcome.Unsendable]: () => NextAction.Fail,
    [AttemptOutcome.NotSent]: (_route, state) => {
        const canSend = state.hasTime && state.sends < MAX_SENDS;
        return canSend ? NextAction.SendAgain : chooseFailure(state);
    },
    [AttemptOutcome.NotExecuted]: (_route, state) => {
        const canSend = state.hasTime && state.sends < MAX_SENDS && state.chargeRetry();
        return canSend ? NextAction.SendAgain : chooseFailure(state);
    },
    [AttemptOutcome.Lost]: (route, state) => (isRetryAllowed(route, state) ? NextAction.SendAgain : NextAction.Fail),
    [AttemptOutcome.Broken]: (route, state) =>
        isRetryAllowed(route, state) ? NextAction.SendAgain : NextAction.BreakOff,
    [AttemptOutcome.TimedOut]: () => NextAction.Fail,
};

/** Tells whether a request that may have been executed may be sent again; charges the retry budget last. */
function isRetryAllowed(route: GatewayRoute, state: AttemptState): boolean {
    const isAllowed = isRepeatable(route) && state.executions < route.attemptsMax && state.sends < MAX_SENDS;
    return isAllowed && state.hasTime && state.mayHaveCrashed !== true && state.chargeRetry();
}

/** Chooses how a request fails without another attempt: it may be refused only if no attempt can have been executed. */
function chooseFailure(state: AttemptState): NextAction {
    return state.executions === 0 ? NextAction.Refuse : NextAction.Fail;
}
