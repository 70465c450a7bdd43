/**
 * @module What follows after an attempt at an endpoint has ended.
 */
import { type GatewayRoute, RouteKind } from "../../model/gateway";

/** How an attempt at an endpoint ended. */
export enum AttemptOutcome {
    /** The answer was relayed to its end. */
    Relayed = "relayed",
    /** A whole answer is at hand, and nothing of it was relayed. */
    Answered = "answered",
    /** No byte of the request can have reached the endpoint. */
    NotSent = "not_sent",
    /** The endpoint states that it did not execute the request. */
    NotExecuted = "not_executed",
    /** The request was sent, and no usable answer came. */
    Lost = "lost",
    /** A stream broke after a part of it was relayed. */
    Broken = "broken",
    CallerGone = "caller_gone",
    /** The request's time was over while the endpoint had it. */
    TimedOut = "timed_out",
}

/** What is done next. */
export enum NextAction {
    /** Nothing is left to do. */
    Finish = "finish",
    /** The answer at hand is relayed. */
    Relay = "relay",
    SendAgain = "send_again",
    /** The caller is told that the request has not run. */
    Refuse = "refuse",
    /** The caller is told that the outcome is unknown. */
    Fail = "fail",
    /** The connection is closed, since a part of the answer was relayed. */
    BreakOff = "break_off",
}

/** The state of a request after an attempt. */
export interface AttemptState {
    readonly end: AttemptOutcome;
    /** Status of the answer at hand, where there is one. */
    readonly status: number | undefined;
    /** Attempts so far that may have been executed, this one included. */
    readonly executions: number;
    /** All attempts so far. */
    readonly sends: number;
    /** True if there is time for another attempt. */
    readonly hasTime: boolean;
    /** Takes one extra send from the budget; called at most once. */
    readonly chargeRetry: () => boolean;
}

/** Most attempts for one request, whatever they came to. */
export const MAX_SENDS = 4;

const FIRST_FAILURE_STATUS = 500;

/**
 * Decides what follows.
 *
 * @param route - The request's route
 * @param state - What is known after the attempt
 * @returns The step
 * @example
 * decideAttemptStep(route, state) === AttemptStep.SendAgain;
 */
export function decideNextAction(route: GatewayRoute, state: AttemptState): NextAction {
    return DECIDERS[state.end](route, state);
}

/** Tells whether a status says that the endpoint failed. */
export function isFailedStatus(status: number | undefined): boolean {
    return status !== undefined && status >= FIRST_FAILURE_STATUS;
}

/** Tells whether a request of the route may be executed more than once. */
export function isRepeatable(route: GatewayRoute): boolean {
    return route.kind === RouteKind.Idempotent || (route.kind === RouteKind.Streaming && route.isResumable);
}

const DECIDERS: Readonly<Record<AttemptOutcome, (route: GatewayRoute, state: AttemptState) => NextAction>> = {
    [AttemptOutcome.Relayed]: () => NextAction.Finish,
    [AttemptOutcome.CallerGone]: () => NextAction.Finish,
    [AttemptOutcome.Answered]: (route, state) => {
        return isFailedStatus(state.status) && isRepeatAllowed(route, state) ? NextAction.SendAgain : NextAction.Relay;
    },
    [AttemptOutcome.NotSent]: (_route, state) => {
        const canSend = state.hasTime && state.sends < MAX_SENDS;
        return canSend ? NextAction.SendAgain : chooseEnd(state);
    },
    [AttemptOutcome.NotExecuted]: (_route, state) => {
        const canSend = state.hasTime && state.sends < MAX_SENDS && state.chargeRetry();
        return canSend ? NextAction.SendAgain : chooseEnd(state);
    },
    [AttemptOutcome.Lost]: (route, state) => (isRepeatAllowed(route, state) ? NextAction.SendAgain : NextAction.Fail),
    [AttemptOutcome.Broken]: (route, state) =>
        isRepeatAllowed(route, state) ? NextAction.SendAgain : NextAction.BreakOff,
    [AttemptOutcome.TimedOut]: () => NextAction.Fail,
};

function isRepeatAllowed(route: GatewayRoute, state: AttemptState): boolean {
    const isAllowed = isRepeatable(route) && state.executions < route.attemptsMax && state.sends < MAX_SENDS;
    return isAllowed && state.hasTime && state.chargeRetry();
}

/** Without another attempt: a refusal is only true if no attempt can have been executed. */
function chooseEnd(state: AttemptState): NextAction {
    return state.executions === 0 ? NextAction.Refuse : NextAction.Fail;
}
