/**
 * @module Carries an admitted request to its final answer: attempts at endpoints, one after the other.
 */
import { createFailure } from "../base/createFailure";
import { Execution, type Failure, FailureKind } from "../base/failure";
import {
    chooseEndpoint,
    type EndpointView,
    estimateResponseMs,
    type PlacementRequest,
} from "../decisions/gateway/chooseEndpoint";
import {
    AttemptOutcome,
    NextAction,
    decideNextAction,
    isFailedStatus,
    isRepeatable,
} from "../decisions/gateway/decideNextAction";
import { createServiceRetryBudget, type ServiceRetryBudget } from "../decisions/gateway/serviceRetryBudget";
import { RouteKind } from "../model/gateway";
import type { ResponseHead } from "../ports/forwardingCodec";
import { FRESH_IDLE_MS, RETRY_AFTER_MS } from "./constants";
import { createStreamRelay, type StreamRelay } from "./createStreamRelay";
import {
    buildEndpointView,
    type EndpointRecord,
    recordAnswerTime,
    recordAttemptOutcome,
    recordCachedParts,
    recordLoad,
    recordUnreachable,
} from "./endpointRecord";
import type { GatewayExchange } from "./exchange";
import type { GatewayParts } from "./gatewayParts";
import { type AttemptResult, sendAttempt, type WholeAnswer } from "./sendAttempt";

/** Least time that must be left for another attempt. */
const LEAST_ATTEMPT_MS = 60;
/** Prompts of this size are told to the peers, since they keep others waiting at the endpoint. */
const ANNOUNCED_TOKENS = 2_000;
/** Share of the objective after which a request that may be repeated is sent to another endpoint. */
const PATIENCE_SHARE = 0.9;
/** Longest pause inside a stream that may be resumed, in multiples of the route's target. */
const EVENT_PATIENCE_FACTOR = 3;

/** How a request ended. */
export type ForwardingEnd =
    | { readonly isRelayed: true }
    /** The caller has to be told of the failure. */
    | { readonly isRelayed: false; readonly failure: Failure }
    /** The connection has to be closed: the caller has left, or has a part of the answer. */
    | { readonly isRelayed: false; readonly failure: undefined };

/** Forwards requests. */
export interface Forwarder {
    /** Forwards a request until its end; never rejects. `ended` carries `AttemptEnd.TimedOut` or `CallerGone`. */
    forwardRequest(exchange: GatewayExchange, ended: AbortSignal): Promise<ForwardingEnd>;
}

interface Candidate {
    readonly record: EndpointRecord;
    /** The endpoint as it was when it was chosen. */
    readonly view: EndpointView;
}

interface Course {
    readonly exchange: GatewayExchange;
    readonly request: PlacementRequest;
    readonly relay: StreamRelay;
    readonly ended: AbortSignal;
    readonly tried: Set<string>;
    executions: number;
    sends: number;
    hasBegun: boolean;
}

/**
 * Creates the forwarder of a node.
 *
 * @param parts - The parts of the gateway
 * @returns The forwarder
 * @example
 * const end = await forwarder.forwardRequest(exchange, ended);
 */
export function createForwarder(parts: GatewayParts): Forwarder {
    const { clock, directory, speeds, settings } = parts;
    const allowances = new Map<string, ServiceRetryBudget>();
    const readAllowance = (service: string): ServiceRetryBudget => {
        const { retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs } = settings.bounds;
        const allowance = allowances.get(service) ?? createServiceRetryBudget({ ratio, slack, windowMs });
        allowances.set(service, allowance);
        return allowance;
    };

    const pickCandidate = (course: Course): Candidate | undefined => {
        const { request } = course;
        const { service } = course.exchange;
        const nowMs = clock.readMonotonicMs();
        const usable = directory.listUsable(service);
        const untried = usable.filter(record => !course.tried.has(record.endpoint.id));
        const reachable = untried.filter(record => record.suspectUntilMs <= nowMs);
        const speed = speeds.readSpeed(service);
        const candidates = (reachable.length > 0 ? reachable : untried).map(record => ({
            record,
            view: buildEndpointView(record, request.promptParts, speed.tokensPerMs, nowMs),
        }));
        const views = candidates.map(candidate => candidate.view);
        const id = chooseEndpoint(views, request, speed, parts.random);
        return candidates.find(candidate => candidate.view.id === id);
    };

    const runAttempt = async (course: Course, { record, view }: Candidate): Promise<AttemptResult> => {
        const { exchange, request } = course;
        const { head, route, service } = exchange;
        const sentAtMs = clock.readMonotonicMs();
        const uncachedTokens = Math.max(0, request.promptTokens - view.cachedTokens);
        const estimatedMs =
            estimateResponseMs(view, request, speeds.readSpeed(service), false) - view.distancePenaltyMs;
        let pendingTokens = uncachedTokens;
        const releasePending = () => {
            record.pendingTokens -= pendingTokens;
            pendingTokens = 0;
        };
        const handleFirstPart = () => {
            const nowMs = clock.readMonotonicMs();
            releasePending();
            recordAnswerTime(record, nowMs - sentAtMs, estimatedMs, nowMs);
            speeds.recordAnswer(service, { uncachedTokens, firstPartMs: nowMs - sentAtMs - record.roundTripMs });
            parts.metrics.recordFirstPart(service, nowMs - exchange.receivedAtMs);
            beginUsage(course);
        };
        if (course.sends === 1) {
            parts.demand.recordArrival(service, uncachedTokens);
        }
        record.ownInFlight++;
        record.pendingTokens += pendingTokens;
        recordCachedParts(record, request.promptParts, sentAtMs);
        if (uncachedTokens >= ANNOUNCED_TOKENS) {
            parts.peers.announcePrompt({ endpointId: record.endpoint.id, tokens: Math.round(uncachedTokens) });
        }
        const canSendElsewhere = isRepeatable(route) && course.executions + 1 < route.attemptsMax;
        const result = await sendAttempt({
            record,
            method: exchange.request.method ?? "GET",
            path: exchange.request.url ?? "/",
            headers: parts.codec.buildEndpointHeaders({
                rawHeaders: exchange.request.rawHeaders,
                endpointId: record.endpoint.id,
                remainingMs: exchange.deadlineAtMs - sentAtMs,
                account: exchange.account,
                priority: route.kind === RouteKind.Streaming ? Math.min(9, Math.max(0, exchange.priority)) : undefined,
                lastEventId: course.relay.readLastEventId(),
                bodyBytes: exchange.body.length > 0 || hasBodyHeader(exchange) ? exchange.body.length : undefined,
            }),
            body: exchange.body.length > 0 ? exchange.body : undefined,
            requestId: head.requestId,
            codec: parts.codec,
            relay: course.relay,
            freshMs: isRepeatable(route) ? undefined : FRESH_IDLE_MS,
            patienceMs: canSendElsewhere ? Math.max(route.objectiveMs * PATIENCE_SHARE, estimatedMs * 2) : undefined,
            eventPatienceMs: canSendElsewhere ? Math.max(1_000, route.gapTargetMs * EVENT_PATIENCE_FACTOR) : undefined,
            ended: course.ended,
            handleAnswerHead: answer => applyAnswerHead(record, answer, clock.readMonotonicMs()),
            handleFirstPart,
        });
        record.ownInFlight--;
        releasePending();
        applyOutcome(record, result, clock.readMonotonicMs());
        return result;
    };

    const beginUsage = (course: Course) => {
        if (!course.hasBegun && course.exchange.account !== undefined) {
            parts.usage.recordBegun(course.exchange.account);
        }
        course.hasBegun = true;
    };

    const decideNext = (course: Course, result: AttemptResult): NextAction => {
        const { exchange } = course;
        const allowance = readAllowance(exchange.service);
        const nowMs = clock.readMonotonicMs();
        return decideNextAction(exchange.route, {
            end: result.end,
            status: result.answer?.status,
            executions: course.executions,
            sends: course.sends,
            hasTime: exchange.endsAtMs - nowMs > LEAST_ATTEMPT_MS,
            chargeRetry: () => allowance.chargeRetry(parts.peers.readView().nodes, nowMs),
        });
    };

    const forwardRequest = async (exchange: GatewayExchange, ended: AbortSignal): Promise<ForwardingEnd> => {
        const course: Course = {
            exchange,
            request: {
                promptTokens: exchange.head.promptTokens ?? 0,
                promptParts: exchange.head.promptParts,
            },
            ended,
            relay: createStreamRelay(exchange.response),
            tried: new Set(),
            executions: 0,
            sends: 0,
            hasBegun: false,
        };
        readAllowance(exchange.service).recordRequest(clock.readMonotonicMs());
        for (;;) {
            const candidate = pickCandidate(course);
            if (candidate === undefined) {
                return describeWithoutEndpoint(course);
            }
            course.tried.add(candidate.view.id);
            course.sends++;
            const result = await runAttempt(course, candidate);
            if (MAY_HAVE_EXECUTED.has(result.end)) {
                course.executions++;
                // A stream begins with its first event; other requests may have begun without a sign of it.
                if (exchange.route.kind !== RouteKind.Streaming) {
                    beginUsage(course);
                }
            }
            parts.metrics.countAttempt(exchange.service, result.end);
            const step = decideNext(course, result);
            if (!isOrdinary(result)) {
                logAttempt(parts, course, candidate.record, result, step);
            }
            if (step !== NextAction.SendAgain) {
                return endCourse(course, result, step);
            }
        }
    };
    return { forwardRequest };
}

/** Ends after which an endpoint may have executed the request. */
const MAY_HAVE_EXECUTED: ReadonlySet<AttemptOutcome> = new Set([
    AttemptOutcome.Relayed,
    AttemptOutcome.Answered,
    AttemptOutcome.Lost,
    AttemptOutcome.Broken,
    AttemptOutcome.TimedOut,
]);

function endCourse(course: Course, result: AttemptResult, step: NextAction): ForwardingEnd {
    if (result.end === AttemptOutcome.Relayed) {
        return { isRelayed: true };
    }
    if (step === NextAction.Relay && result.answer !== undefined) {
        sendWholeAnswer(course.exchange, result.answer);
        return { isRelayed: true };
    }
    if (step === NextAction.Finish || step === NextAction.BreakOff || course.relay.hasBegun()) {
        return { isRelayed: false, failure: undefined };
    }
    return { isRelayed: false, failure: step === NextAction.Refuse ? REFUSED : describeFailure(result) };
}

const REFUSED = createFailure(FailureKind.NoEndpoint, "No endpoint took the request.", {
    retryAfterMs: RETRY_AFTER_MS,
});

function describeFailure(result: AttemptResult): Failure {
    const kind = result.end === AttemptOutcome.TimedOut ? FailureKind.EndpointSilent : FailureKind.OutcomeUnknown;
    return createFailure(kind, `The attempt ended without an answer: ${result.reason}.`, {
        execution: Execution.Unknown,
    });
}

/** Without an endpoint to try: the request has not run, unless an earlier attempt may have. */
function describeWithoutEndpoint(course: Course): ForwardingEnd {
    if (course.relay.hasBegun()) {
        return { isRelayed: false, failure: undefined };
    }
    const failure =
        course.executions === 0
            ? REFUSED
            : createFailure(FailureKind.OutcomeUnknown, "No other endpoint is left to try.", {
                  execution: Execution.Unknown,
              });
    return { isRelayed: false, failure };
}

function sendWholeAnswer({ response }: GatewayExchange, answer: WholeAnswer): void {
    response.writeHead(answer.status, [...answer.headers.flat(), "Content-Length", String(answer.body.length)]);
    response.end(answer.body);
}

function applyAnswerHead(record: EndpointRecord, answer: ResponseHead, nowMs: number): void {
    if (answer.load !== undefined) {
        recordLoad(record, answer.load, nowMs);
    }
    if (answer.idleTimeoutMs !== undefined) {
        record.connections.setIdleTimeout(answer.idleTimeoutMs);
    }
    if (answer.isMisdirected) {
        record.isMisdirected = true;
    }
}

function applyOutcome(record: EndpointRecord, result: AttemptResult, nowMs: number): void {
    OUTCOME_RECORDERS[result.end]?.(record, nowMs, result);
}

const OUTCOME_RECORDERS: Readonly<
    Partial<Record<AttemptOutcome, (record: EndpointRecord, nowMs: number, result: AttemptResult) => void>>
> = {
    [AttemptOutcome.Relayed]: (record, nowMs) => recordAttemptOutcome(record, false, nowMs),
    [AttemptOutcome.Answered]: (record, nowMs, result) =>
        recordAttemptOutcome(record, isFailedStatus(result.answer?.status), nowMs),
    [AttemptOutcome.NotSent]: (record, nowMs) => {
        recordUnreachable(record, nowMs);
        record.connections.dropIdle();
    },
    [AttemptOutcome.NotExecuted]: (record, nowMs) => recordAttemptOutcome(record, true, nowMs),
    [AttemptOutcome.Lost]: (record, nowMs) => {
        recordAttemptOutcome(record, true, nowMs);
        record.connections.dropIdle();
    },
    [AttemptOutcome.Broken]: (record, nowMs) => recordAttemptOutcome(record, true, nowMs),
    [AttemptOutcome.TimedOut]: (record, nowMs) => {
        recordAttemptOutcome(record, true, nowMs);
        record.connections.dropIdle();
    },
};

/** Tells whether an attempt came to a success, which isn't logged for itself. */
function isOrdinary(result: AttemptResult): boolean {
    const isSuccess = result.end === AttemptOutcome.Answered && !isFailedStatus(result.answer?.status);
    return result.end === AttemptOutcome.Relayed || isSuccess;
}

function hasBodyHeader({ request }: GatewayExchange): boolean {
    return request.headers["content-length"] !== undefined || request.headers["transfer-encoding"] !== undefined;
}

function logAttempt(
    { log }: GatewayParts,
    course: Course,
    record: EndpointRecord,
    result: AttemptResult,
    step: NextAction,
): void {
    log.warn("attempt ended", {
        requestId: course.exchange.head.requestId,
        route: course.exchange.route.name,
        endpointId: record.endpoint.id,
        end: result.end,
        status: result.answer?.status,
        reason: result.reason,
        sends: course.sends,
        executions: course.executions,
        step,
    });
}
