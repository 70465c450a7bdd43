/**
 * @module Forwards an admitted request until its final answer, by attempts at one endpoint after the other.
 */
import {
    chooseEndpoint,
    type EndpointView,
    estimateFirstPartMs,
    estimateResponseMs,
} from "../../decisions/gateway/chooseEndpoint";
import { AttemptOutcome, NextAction, decideNextAction, isRepeatable } from "../../decisions/gateway/decideNextAction";
import { computeStallTimeoutMs } from "../../decisions/gateway/computeStallTimeoutMs";
import { decideGiveUp } from "../../decisions/gateway/decideGiveUp";
import { explainPlacement, filterPlaceable, type PlacementBar } from "../../decisions/gateway/filterPlaceable";
import { filterServable } from "../../decisions/gateway/filterServable";
import { PartVerdict } from "../../decisions/gateway/evaluatePart";
import { convertToUsualPace } from "../../decisions/gateway/endpointPace";
import { listSharedParts } from "../../decisions/gateway/listSharedParts";
import { createServiceRetryBudget, type ServiceRetryBudget } from "../../decisions/gateway/serviceRetryBudget";
import { type GatewayRoute, RouteKind } from "../../model/gateway";
import { applyAnswerHead, applyOutcome, isSuccessful } from "./applyAttemptOutcome";
import { NON_REPEATABLE_IDLE_MAX_MS } from "../constants";
import { createSpillover } from "./createSpillover";
import { createStreamRelay } from "./createStreamRelay";
import { describePartRefusal } from "../quarantine/describePartRefusal";
import {
    buildEndpointView,
    type EndpointRecord,
    readPaceSince,
    recordAnswerTime,
    recordCachedParts,
    recordConnectionBreak,
} from "../endpoints/endpointRecord";
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

/** An endpoint that an attempt may be made at. */
interface Candidate {
    readonly record: EndpointRecord;
    /** The endpoint as it was when it was chosen. */
    readonly view: EndpointView;
}

/** That no endpoint takes the request now. */
interface NoCandidate {
    /** Time until one may, which may be infinite. */
    readonly waitMs: number;
    /** Why their place leaves all endpoints out; `undefined` if it doesn't. */
    readonly bar: PlacementBar | undefined;
}

/**
 * Creates the forwarder of a node.
 *
 * @param components - The components of the gateway
 * @returns The forwarder
 * @example
 * const end = await forwarder.forwardRequest(exchange, ended);
 */
export function createForwarder(components: GatewayComponents): Forwarder {
    const { clock, directory, speeds, settings } = components;
    const spillover = createSpillover(components);
    const allowances = new Map<string, ServiceRetryBudget>();
    const readAllowance = (service: string): ServiceRetryBudget => {
        const { retryRatio: ratio, retrySlack: slack, retryWindowMs: windowMs } = settings.bounds;
        const allowance = allowances.get(service) ?? createServiceRetryBudget({ ratio, slack, windowMs });
        allowances.set(service, allowance);
        return allowance;
    };

    /** Computes the time until an endpoint takes a request, by what it has said in its answers. */
    const computeWaitMs = (record: EndpointRecord, nowMs: number): number =>
        Math.max(
            0,
            record.refusedUntilMs - nowMs,
            components.limits.computeWaitMs(record),
            components.coldEndpoints.computeWaitMs(record),
        );
    /** Lists the endpoints that take this request now, and gives the least time until one does. */
    const listOpen = (state: ForwardingState, nowMs: number) => {
        const { exchange, triedEndpoints } = state;
        const { rollouts, limits } = components;
        const usable = filterServable(directory.listUsable(exchange.service), exchange.head.model);
        const evacuated = components.evacuations.readDomains();
        const rules = { homeRegions: exchange.homeRegions, evacuated, regions: settings.regions };
        const placeable = filterPlaceable(usable, rules);
        const untried = placeable.filter(record => !triedEndpoints.has(record.endpoint.id));
        const waitsMs = new Map(untried.map(record => [record, computeWaitMs(record, nowMs)]));
        const isFirst = state.sends === 0 && !state.isCareful && state.relay.readLastEventId() === undefined;
        const open = rollouts.filterEligible(
            exchange.service,
            untried.filter(record => waitsMs.get(record) === 0),
            isFirst,
        );
        const eligible = rollouts.filterEligible(exchange.service, untried, false);
        eligible.forEach(record => limits.recordDemand(record));
        return {
            open,
            reachable: open.filter(record => record.suspectUntilMs <= nowMs),
            /** Why no endpoint is left, if its place bars each of them. */
            bar: placeable.length === 0 && usable[0] ? explainPlacement(usable[0].endpoint, rules) : undefined,
            leastWaitMs: Math.min(...eligible.map(record => waitsMs.get(record) ?? 0)),
        };
    };

    const chargeRetry = ({ exchange }: ForwardingState, nowMs: number): boolean =>
        readAllowance(exchange.service).chargeRetry(components.news.readUsage().nodes, nowMs);

    /** Decides whether the present attempt is given up; the retry is charged then. */
    const canGiveUp = (state: ForwardingState): boolean => {
        const { exchange, request } = state;
        const nowMs = clock.readMonotonicMs();
        const speed = speeds.readSpeed(exchange.service);
        const isGivenUp =
            !state.isCareful &&
            decideGiveUp(exchange.route, {
                executions: state.executions,
                sends: state.sends,
                remainingMs: exchange.timeoutAtMs - nowMs - ATTEMPT_TIME_MIN_MS,
                estimateElsewhereMs: () => {
                    const { reachable } = listOpen(state, nowMs);
                    const estimatesMs = reachable.map(record =>
                        estimateResponseMs(
                            buildEndpointView(record, request.promptParts, nowMs),
                            request,
                            speed,
                            false,
                        ),
                    );
                    return estimatesMs.length === 0 ? undefined : Math.min(...estimatesMs);
                },
                chargeRetry: () => chargeRetry(state, nowMs),
            });
        state.isRetryCharged ||= isGivenUp;
        return isGivenUp;
    };

    /** Picks an endpoint; if none takes the request now, gives the time until one may, which may be infinite. */
    const pickCandidate = (state: ForwardingState): Candidate | NoCandidate => {
        const { request, exchange } = state;
        const nowMs = clock.readMonotonicMs();
        const { open, reachable, leastWaitMs, bar } = listOpen(state, nowMs);
        const speed = speeds.readSpeed(exchange.service);
        const takers = reachable.length > 0 ? reachable : open;
        const all = spillover.filterDomains(exchange.service, exchange.route.objectiveMs, takers).map(record => ({
            record,
            view: buildEndpointView(record, request.promptParts, nowMs),
        }));
        const leastOccupancy = Math.min(...all.map(({ view }) => view.occupancy));
        const candidates = state.isCareful ? all.filter(({ view }) => view.occupancy <= leastOccupancy) : all;
        const views = candidates.map(candidate => candidate.view);
        const id = chooseEndpoint(views, request, speed, components.random);
        return candidates.find(candidate => candidate.view.id === id) ?? { waitMs: leastWaitMs, bar };
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
        const followed = components.quarantine.beginAttempt(record, state.sharedParts);
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
        sharedParts: listSharedParts(exchange.head.promptParts),
        ended,
        relay: createStreamRelay(exchange.response),
        triedEndpoints: new Set(),
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
            const admission = components.quarantine.admitAttempt(state.sharedParts);
            const isRepeat = state.sends > 0;
            if (admission.retryAfterMs !== undefined || (isRepeat && admission.verdict !== PartVerdict.Free)) {
                return state.relay.hasBegun()
                    ? { isRelayed: false, failure: undefined }
                    : { isRelayed: false, failure: describePartRefusal(state.executions, admission.retryAfterMs) };
            }
            state.isCareful = admission.verdict !== PartVerdict.Free;
            const candidate = pickCandidate(state);
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
    return {
        forwardRequest: async (exchange, ended) => {
            const state = createState(exchange, ended);
            try {
                return await forwardByAttempts(state);
            } catch (error) {
                components.reportFailure(FailureOwner.Request, error, { requestId: exchange.head.requestId });
                return describeNodeFailure(state.relay, state.isSending || state.executions > 0);
            }
        },
    };
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
