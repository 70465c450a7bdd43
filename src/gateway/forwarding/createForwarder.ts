/**
 * @module Forwards an admitted request until its final answer, by attempts at one endpoint after the other.
 */
import { setImmediate as endTurn } from "node:timers/promises";
import { estimateFirstPartMs, estimateResponseMs } from "../../decisions/gateway/chooseEndpoint";
import { AttemptOutcome, NextAction, decideNextAction, isRepeatable } from "../../decisions/gateway/decideNextAction";
import { computeStallTimeoutMs } from "../../decisions/gateway/computeStallTimeoutMs";
import { decideGiveUp } from "../../decisions/gateway/decideGiveUp";
import { PartVerdict } from "../../decisions/gateway/evaluatePart";
import { convertToUsualPace } from "../../decisions/gateway/endpointPace";
import { createServiceRetryBudget, type ServiceRetryBudget } from "../../decisions/gateway/serviceRetryBudget";
import { type GatewayRoute, RouteKind } from "../../model/gateway";
import { applyAnswerHead, applyOutcome, isSuccessful } from "./applyAttemptOutcome";
import { NON_REPEATABLE_IDLE_MAX_MS } from "../constants";
import { type Candidate, createCandidatePicker } from "./createCandidatePicker";
import { createSpillover, type SpilloverControl } from "./createSpillover";
import { createStreamRelay } from "./createStreamRelay";
import type { AttemptHistory } from "../quarantine/createPartQuarantine";
import { describePartRefusal } from "../quarantine/describePartRefusal";
import { buildFollowedRequest } from "../quarantine/buildFollowedRequest";
import { readPaceSince, recordAnswerTime, recordCachedParts, recordConnectionBreak } from "../endpoints/endpointRecord";
import { type GatewayExchange, hasBodyHeader } from "../callers/exchange";
import { FailureOwner } from "../process/createFailureReporter";
import {
    describeFailure,
    describeNodeFailure,
    describeWithoutEndpoint,
    type ForwardingOutcome,
    NO_ENDPOINT_FAILURE,
} from "./forwardingOutcome";
import type { GatewayComponents } from "../gatewayComponents";
import type { EndedAttempt, ForwardingState } from "./forwardingState";
import { logAttempt } from "./logAttempt";
import { type AttemptOptions, type AttemptResult, ConnectionEnd, sendAttempt } from "./sendAttempt";
import { sendWholeAnswer } from "./sendWholeAnswer";
import { waitUnlessAborted } from "./waitUnlessAborted";

/** Time that must be left before the timeout for another attempt. */
const ATTEMPT_TIME_MIN_MS = 60;
/** Share of the route's objective after which a repeatable request without an answer may go to another endpoint. */
const ANSWER_TIMEOUT_SHARE = 0.9;

/** Forwards requests. */
export interface Forwarder {
    /**
     * Forwards a request until its end; never rejects. The abort reason of `ended` is `AttemptOutcome.TimedOut` or
     * `CallerGone`.
     */
    forwardRequest(exchange: GatewayExchange, ended: AbortSignal): Promise<ForwardingOutcome>;
}

/**
 * Creates the forwarder of a node.
 *
 * @param components - The components of the gateway
 * @param spillover - Decides which failure domain an attempt goes to; default: one of its own
 * @returns The forwarder
 * @example
 * const end = await forwarder.forwardRequest(exchange, ended);
 */
export function createForwarder(
    components: GatewayComponents,
    spillover: SpilloverControl = createSpillover(components),
): Forwarder {
    const { clock, speeds, settings } = components;
    const candidates = createCandidatePicker(components, spillover);
    const allowances = new Map<string, ServiceRetryBudget>();
    const readAllowance = (service: string): ServiceRetryBudget => {
        const { retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs } = settings.bounds;
        const allowance = allowances.get(service) ?? createServiceRetryBudget({ ratio, slack, windowMs });
        allowances.set(service, allowance);
        return allowance;
    };

    const chargeRetry = ({ exchange }: ForwardingState, nowMs: number): boolean =>
        readAllowance(exchange.service).chargeRetry(components.news.readUsage().nodes, nowMs);

    /** Decides whether the present attempt is given up; the retry is charged then. */
    const canGiveUp = (state: ForwardingState): boolean => {
        const { exchange } = state;
        const nowMs = clock.readMonotonicMs();
        const isGivenUp =
            !state.isCareful &&
            decideGiveUp(exchange.route, {
                executions: state.executions,
                sends: state.sends,
                remainingMs: exchange.timeoutAtMs - nowMs - ATTEMPT_TIME_MIN_MS,
                estimateElsewhereMs: () => candidates.estimateLeastMs(state),
                chargeRetry: () => chargeRetry(state, nowMs),
            });
        state.isRetryCharged ||= isGivenUp;
        return isGivenUp;
    };

    const runAttempt = async (state: ForwardingState, { record, view }: Candidate): Promise<EndedAttempt> => {
        const { exchange, request } = state;
        const { head, route, service } = exchange;
        const sentAtMs = clock.readMonotonicMs();
        const uncachedTokens = Math.max(0, request.promptTokens - view.cachedTokens);
        const estimatedMs =
            estimateResponseMs(view, request, speeds.readSpeed(service), false) - view.distancePenaltyMs;
        const expectedMs = estimateFirstPartMs(view, request, speeds.readSpeed(service));
        let pendingTokens = uncachedTokens;
        let firstPartAtMs: number | undefined;
        const releasePending = () => {
            record.pendingTokens -= pendingTokens;
            pendingTokens = 0;
        };
        const handleFirstPart = () => {
            const nowMs = clock.readMonotonicMs();
            firstPartAtMs = nowMs;
            state.seat?.recordFirstPart();
            followed.recordFirstPart();
            releasePending();
            const pace = readPaceSince(record, sentAtMs) ?? view.pace;
            const explainedMs =
                estimateResponseMs({ ...view, pace }, request, speeds.readSpeed(service), false) -
                view.distancePenaltyMs;
            recordAnswerTime(record, nowMs - sentAtMs, explainedMs, nowMs);
            compared.recordFirstPart((nowMs - sentAtMs) / expectedMs);
            if (components.rollouts.isServing(record.endpoint)) {
                const firstPartMs = nowMs - sentAtMs - record.roundTripMs;
                speeds.recordAnswer(service, { uncachedTokens, firstPartMs: convertToUsualPace(firstPartMs, pace) });
            }
            components.metrics.recordFirstPart(service, nowMs - exchange.receivedAtMs);
            recordUsage(state);
        };
        const headers = components.codec.buildEndpointHeaders({
            rawHeaders: exchange.request.rawHeaders,
            endpointId: record.endpoint.id,
            remainingMs: exchange.deadlineAtMs - sentAtMs,
            account: exchange.account,
            priority: route.kind === RouteKind.Streaming ? Math.min(9, Math.max(0, exchange.priority)) : undefined,
            lastEventId: state.relay.readLastEventId(),
            bodyBytes: exchange.body.length > 0 || hasBodyHeader(exchange) ? exchange.body.length : undefined,
        });
        if (state.sends === 1) {
            components.demand.recordArrival(service, uncachedTokens);
        }
        components.limits.chargeAttempt(record);
        components.coldEndpoints.chargeAttempt(record);
        spillover.recordAttempt(record);
        const followed = components.quarantine.beginAttempt(record, state.followed, describeHistory(state));
        const compared = components.rollouts.beginAttempt(record, route.name, state.sends === 1);
        recordCachedParts(record, request.promptParts, sentAtMs);
        record.ownInFlight++;
        record.pendingTokens += pendingTokens;
        const isBounded = isRepeatable(route) && state.executions + 1 < route.attemptsMax;
        state.isSending = true;
        const result = await sendAttempt({
            record,
            method: exchange.request.method ?? "GET",
            path: exchange.request.url ?? "/",
            headers,
            body: exchange.body.length > 0 ? exchange.body : undefined,
            requestId: head.requestId,
            codec: components.codec,
            relay: state.relay,
            maxIdleMs: isRepeatable(route) ? undefined : NON_REPEATABLE_IDLE_MAX_MS,
            ...(isBounded ? computeWaits(route, estimatedMs) : NO_WAITS),
            canGiveUp: () => canGiveUp(state),
            answerMemory: exchange.answerMemory,
            ended: state.ended,
            handleAnswerHead: answer => {
                applyAnswerHead(record, answer, clock.readMonotonicMs());
                components.limits.recordAnswer(record, answer, sentAtMs);
                state.seat?.recordAnswer(answer);
            },
            handleFirstPart,
            reportFailure: components.reportFailure,
        });
        record.ownInFlight--;
        releasePending();
        const nowMs = clock.readMonotonicMs();
        applyOutcome(record, result, nowMs);
        compared.finish(result);
        if (result.connection !== undefined) {
            components.metrics.countConnectionEnd(service, result.connection, firstPartAtMs !== undefined);
        }
        if (result.connection === ConnectionEnd.Broken) {
            // Idle connections that broke in the same turn of the event loop leave the pool before a repeat can use them.
            await endTurn();
        }
        const mayHaveCrashed = await waitUnlessAborted(followed.finish(result), state.ended, true);
        return {
            result,
            mayHaveCrashed,
            answerAgeMs: firstPartAtMs === undefined ? undefined : Math.round(nowMs - firstPartAtMs),
            breaksTogether: result.connection === ConnectionEnd.Broken ? recordConnectionBreak(record, nowMs) : 0,
            stillInFlight: record.ownInFlight,
        };
    };

    const recordUsage = (state: ForwardingState) => {
        if (!state.isUsageRecorded && state.exchange.account !== undefined) {
            components.usage.recordExecutionStart(state.exchange.account);
        }
        state.isUsageRecorded = true;
    };

    const decideNext = (state: ForwardingState, { result, mayHaveCrashed }: EndedAttempt): NextAction => {
        const { exchange, isRetryCharged } = state;
        const nowMs = clock.readMonotonicMs();
        state.isRetryCharged = false;
        return decideNextAction(exchange.route, {
            end: result.end,
            status: result.answer?.status,
            executions: state.executions,
            sends: state.sends,
            mayHaveCrashed,
            hasTime: exchange.timeoutAtMs - nowMs > ATTEMPT_TIME_MIN_MS,
            chargeRetry: () => isRetryCharged || chargeRetry(state, nowMs),
        });
    };

    const createState = (exchange: GatewayExchange, ended: AbortSignal): ForwardingState => ({
        exchange,
        request: {
            promptTokens: exchange.head.promptTokens ?? 0,
            promptParts: exchange.head.promptParts,
        },
        followed: buildFollowedRequest(exchange.head.promptParts, {
            service: exchange.service,
            method: exchange.request.method ?? "GET",
            path: exchange.request.url ?? "/",
            body: exchange.body,
        }),
        ended,
        relay: createStreamRelay(exchange.response),
        triedEndpoints: new Set(),
        seat: undefined,
        executions: 0,
        sends: 0,
        isSending: false,
        isCareful: false,
        isRetryCharged: false,
        isUsageRecorded: false,
    });

    const forwardByAttempts = async (state: ForwardingState): Promise<ForwardingOutcome> => {
        const { exchange } = state;
        readAllowance(exchange.service).recordRequest(clock.readMonotonicMs());
        for (;;) {
            const admission = components.quarantine.admitAttempt(state.followed, describeHistory(state));
            if (admission.retryAfterMs !== undefined || (state.sends > 0 && !admission.allowsRepeat)) {
                return state.relay.hasBegun()
                    ? { isRelayed: false, failure: undefined }
                    : { isRelayed: false, failure: describePartRefusal(state.executions, admission.retryAfterMs) };
            }
            state.isCareful = admission.verdict !== PartVerdict.Free;
            const candidate = candidates.pickCandidate(state);
            if ("waitMs" in candidate) {
                if (candidate.bar !== undefined) {
                    components.metrics.countPlacementRefusal(exchange.service, candidate.bar);
                }
                return describeWithoutEndpoint(state, candidate.waitMs, candidate.bar);
            }
            state.triedEndpoints.add(candidate.view.id);
            state.sends++;
            const attempt = await runAttempt(state, candidate);
            const { result } = attempt;
            if (MAY_HAVE_EXECUTED.has(result.end)) {
                state.executions++;
                // A stream counts as executed from its first event; other requests may be executed without any sign.
                if (exchange.route.kind !== RouteKind.Streaming) {
                    recordUsage(state);
                }
            }
            state.isSending = false;
            components.metrics.countAttempt(exchange.service, result.end);
            const step = decideNext(state, attempt);
            if (!isSuccessful(result)) {
                logAttempt(components.log, state, candidate.record, attempt, step);
            }
            if (step !== NextAction.SendAgain) {
                return finishForwarding(state, result, step);
            }
        }
    };
    /** Forwards a request once there is room for it at the endpoints. */
    const forwardWithSeat = async (state: ForwardingState): Promise<ForwardingOutcome> => {
        const room = await components.admission.waitForRoom(state.exchange, state.ended);
        if ("failure" in room) {
            return { isRelayed: false, failure: room.failure };
        }
        state.seat = room.seat;
        let isRelayed = false;
        try {
            const outcome = await forwardByAttempts(state);
            ({ isRelayed } = outcome);
            return outcome;
        } finally {
            room.seat.finish({ wasSent: state.sends > 0, isRelayed });
        }
    };
    return {
        forwardRequest: async (exchange, ended) => {
            const state = createState(exchange, ended);
            try {
                return await forwardWithSeat(state);
            } catch (error) {
                components.reportFailure(FailureOwner.Request, error, { requestId: exchange.head.requestId });
                return describeNodeFailure(state.relay, state.isSending || state.executions > 0);
            }
        },
    };
}

/** Describes the attempts before the next one, and whether its repeat would not be the last that the route permits. */
function describeHistory({ executions, exchange }: ForwardingState): AttemptHistory {
    return { isRepeat: executions > 0, hasSpare: Math.max(1, executions) + 1 < exchange.route.attemptsMax };
}

/** How long an attempt may wait before it is asked whether it is given up. */
type AttemptWaits = Pick<AttemptOptions, "answerTimeoutMs" | "eventTimeoutMs">;

const NO_WAITS: AttemptWaits = { answerTimeoutMs: undefined, eventTimeoutMs: undefined };

function computeWaits(route: GatewayRoute, estimatedMs: number): AttemptWaits {
    if (route.kind === RouteKind.Streaming) {
        const stallMs = computeStallTimeoutMs(route);
        return { answerTimeoutMs: stallMs, eventTimeoutMs: stallMs };
    }
    const answerTimeoutMs = Math.max(route.objectiveMs * ANSWER_TIMEOUT_SHARE, estimatedMs * 2);
    return { answerTimeoutMs, eventTimeoutMs: undefined };
}

/** Ends of an attempt after which the endpoint may have executed the request. */
const MAY_HAVE_EXECUTED: ReadonlySet<AttemptOutcome> = new Set([
    AttemptOutcome.Relayed,
    AttemptOutcome.Answered,
    AttemptOutcome.Lost,
    AttemptOutcome.Broken,
    AttemptOutcome.TimedOut,
]);

function finishForwarding(state: ForwardingState, result: AttemptResult, step: NextAction): ForwardingOutcome {
    if (result.end === AttemptOutcome.Relayed) {
        return { isRelayed: true };
    }
    if (step === NextAction.Relay && result.answer !== undefined && !state.relay.hasBegun()) {
        sendWholeAnswer(state.exchange, result.answer);
        return { isRelayed: true };
    }
    if (step === NextAction.Finish || step === NextAction.BreakOff || state.relay.hasBegun()) {
        return { isRelayed: false, failure: undefined };
    }
    return { isRelayed: false, failure: step === NextAction.Refuse ? NO_ENDPOINT_FAILURE : describeFailure(result) };
}
