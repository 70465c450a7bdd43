/**
 * @module The HTTP listener for callers: admits requests, and sends failures as answers.
 */
import http, { type IncomingMessage, type ServerResponse } from "node:http";
import net from "node:net";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import type { AccountQuotas } from "../../decisions/gateway/accountQuotas";
import { computeQuotaAmount } from "../../decisions/gateway/computeQuotaAmount";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import type { StopTimes } from "../../decisions/gateway/computeStopTimes";
import { isServableBeforeStop } from "../../decisions/gateway/isServableBeforeStop";
import { formatRawFailure } from "../../http/formatRawFailure";
import { installConnectionLimit, type LimitAction } from "../../http/installConnectionLimit";
import { installRequestLimits, type RequestLimitCounter } from "../../http/installRequestLimits";
import { PROCESS_READ_TURNS } from "../../http/processReadTurns";
import { readBody } from "../../http/readBody";
import { sendFailure } from "../../http/sendFailure";
import type { CallerRequestHead } from "../../ports/forwardingCodec";
import { type CallerConnections, createCallerConnections } from "./createCallerConnections";
import { FailureOwner } from "../process/createFailureReporter";
import type { Forwarder } from "../forwarding/createForwarder";
import { abandonAnswer } from "./abandonAnswer";
import { type AdmittedRequest, buildExchange } from "./buildExchange";
import type { CallerCounts } from "./callerCounts";
import { computeConnectionLimit } from "./computeConnectionLimit";
import { computeRequestLimits } from "./computeRequestLimits";
import { computeRequestTimes } from "./computeRequestTimes";
import { createHeadAdmission } from "./createHeadAdmission";
import { CONNECTIONS_LIMITED, createLimitReport, REQUESTS_LIMITED } from "./createLimitReport";
import { createOpenRequests, type OpenRequest, RequestEnd, RequestPhase } from "./createOpenRequests";
import type { GatewayExchange } from "./exchange";
import {
    createQuotaFailure,
    LATE_NODE_FAILURE,
    NODE_FAILURE,
    SHUTTING_DOWN_FAILURE,
} from "../forwarding/forwardingOutcome";
import type { GatewayComponents } from "../gatewayComponents";
import { logSuccess } from "./logSuccess";
import { readHead } from "./readHead";
import { readKernelLimits } from "./readKernelLimits";
import { waitUntilLoaded } from "./waitUntilLoaded";

/**
 * Longest wait of a request while the node loads its data after a start: a few round trips to a store in another
 * region.
 */
const STARTUP_WAIT_MAX_MS = 400;
/** Time for which a caller may read nothing of its responses while no configuration states one above 0. */
const UNREAD_TIMEOUT_MS = 15_000;
/** One of this many successful requests is logged. */
const SUCCESSES_PER_LOG_LINE = 50;

/** Failures after which the caller should come back by another connection, which may lead to another node. */
const CLOSING_FAILURES: ReadonlySet<FailureKind> = new Set([FailureKind.StoreUnavailable, FailureKind.ShuttingDown]);
const SHUTTING_DOWN_ANSWER = formatRawFailure("503 Service Unavailable", SHUTTING_DOWN_FAILURE);

/** The HTTP listener for callers. */
export interface GatewayListener {
    readonly server: http.Server;
    /** Counts the requests without a final answer, those included whose head has not arrived whole. */
    countOpen(): number;
    countCallers(): CallerCounts;
    /** Tells whether a request that times out at a monotonic time is taken, or refused since the node stops. */
    isTaken(timeoutAtMs: number): boolean;
    /** Counts what was done to keep the connections within their limit. */
    countLimitActions(): Readonly<Record<LimitAction, number>>;
    /** What was done because callers sent requests ahead or read no responses. */
    readonly requestLimits: RequestLimitCounter;
    /** Starts to close each connection after its next answer, and to refuse what waits or can't be ended before the stop. */
    beginDrain(times: StopTimes): void;
    /** Gives each request without a begun answer a failure: as not run if it was not forwarded, else as unknown. */
    endRequests(): void;
    /** Breaks off the answers that are not whole, so that their callers see it. */
    abandonRequests(): void;
    /** Stops accepting connections, and closes those that are idle; `countCallers` tells when all are closed. */
    closeIdle(): void;
}

/** What was charged to the quota of an account for a request, and when, in monotonic time. */
interface QuotaCharge {
    readonly amount: number;
    readonly atMs: number;
}

/** Dependencies of the listener. */
export interface GatewayListenerOptions {
    readonly components: GatewayComponents;
    readonly forwarder: Forwarder;
    readonly quotas: AccountQuotas;
}

/**
 * Creates the listener; it does not listen yet.
 *
 * @param options - Its dependencies
 * @returns The listener
 * @example
 * await startListening(listener.server, settings.callers);
 */
export function createGatewayListener(options: GatewayListenerOptions): GatewayListener {
    const { components, forwarder, quotas } = options;
    const { clock, demand, configuration, codec, log, metrics, settings, memory, reportFailure } = components;
    /** The times of the stop, and the monotonic time of its signal; absent while the node does not drain. */
    let stop: { readonly times: StopTimes; readonly signalledAtMs: number } | undefined;
    const openRequests = createOpenRequests();
    const admitHead = createHeadAdmission(components);
    let successes = 0;

    const isTaken = (timeoutAtMs: number): boolean => {
        const nowMs = clock.readMonotonicMs();
        return stop === undefined || isServableBeforeStop(stop.times, nowMs - stop.signalledAtMs, timeoutAtMs - nowMs);
    };

    const chargeQuota = (admitted: AdmittedRequest, head: CallerRequestHead): QuotaCharge | Failure => {
        const { account } = admitted;
        const atMs = clock.readMonotonicMs();
        if (account === undefined) {
            return { amount: 0, atMs };
        }
        const amount = computeQuotaAmount(account, head);
        return quotas.charge(account, amount, components.news.readUsage(), atMs)
            ? { amount, atMs }
            : createQuotaFailure(account, amount, quotas.estimateRetryMs(account.name));
    };

    const sendFailureAnswer = (open: OpenRequest, failure: Failure) => {
        const { request, response, head } = open;
        open.end = failure.execution === Execution.NotRun ? RequestEnd.Refused : RequestEnd.Failed;
        metrics.countRequest("", failure.kind);
        log.warn("request refused", {
            requestId: head.requestId,
            path: request.url,
            kind: failure.kind,
            execution: failure.execution,
            reason: failure.message,
            configurationVersion: configuration.readCurrent()?.configuration.version,
            confirmedAgeMs: Math.round(configuration.computeAgeMs()),
        });
        if (stop !== undefined || CLOSING_FAILURES.has(failure.kind)) {
            response.setHeader("connection", "close");
        }
        if (!request.complete) {
            request.resume();
        }
        sendFailure(response, failure, head.requestId, { hasFractionalRetryAfter: true });
    };

    const forward = async (open: OpenRequest, receivedAtMs: number) => {
        const { request, response, head } = open;
        await waitUntilLoaded(components, STARTUP_WAIT_MAX_MS);
        if (open.end !== undefined) {
            return;
        }
        const admitted = admitHead(request, head);
        if ("kind" in admitted) {
            sendFailureAnswer(open, admitted);
            return;
        }
        if (!isTaken(computeRequestTimes(admitted.route, head, receivedAtMs).timeoutAtMs)) {
            sendFailureAnswer(open, SHUTTING_DOWN_FAILURE);
            return;
        }
        open.phase = RequestPhase.Body;
        const { limits } = admitted.view.configuration;
        const requestMemory = memory.requests.openLease();
        response.once("close", requestMemory.release);
        const body = await readBody(request, {
            bodyBytes: limits.bodyBytesMax,
            idleMs: limits.idleTimeoutMs,
            memory: requestMemory,
        });
        if (open.end !== undefined) {
            return;
        }
        if (body.isErr()) {
            sendFailureAnswer(open, body.error);
            return;
        }
        // While the body arrived, the configuration may have changed or its confirmation may have become too old.
        const current = admitHead(request, head);
        if ("kind" in current) {
            sendFailureAnswer(open, current);
            return;
        }
        if (!isTaken(computeRequestTimes(current.route, head, receivedAtMs).timeoutAtMs)) {
            sendFailureAnswer(open, SHUTTING_DOWN_FAILURE);
            return;
        }
        const answerMemory = memory.answers.openLease();
        response.once("close", answerMemory.release);
        const received = { request, response, head, receivedAtMs, body: body.value, answerMemory };
        const exchange = buildExchange(current, received, components.random);
        const charged = chargeQuota(current, head);
        if ("kind" in charged) {
            sendFailureAnswer(open, charged);
            return;
        }
        await forwardAdmitted(open, exchange, charged);
        requestMemory.release();
    };

    const forwardAdmitted = async (open: OpenRequest, exchange: GatewayExchange, charged: QuotaCharge) => {
        const { response, service } = exchange;
        metrics.recordOverhead(clock.readMonotonicMs() - exchange.receivedAtMs);
        open.phase = RequestPhase.Forwarded;
        const ended = new AbortController();
        const timer = setTimeout(
            () => ended.abort(AttemptOutcome.TimedOut),
            Math.max(0, exchange.timeoutAtMs - clock.readMonotonicMs()),
        );
        open.abort = () => ended.abort(AttemptOutcome.TimedOut);
        const handleClose = () => ended.abort(AttemptOutcome.CallerGone);
        response.once("close", handleClose);
        demand.recordInFlight(service, 1);
        const end = await forwarder.forwardRequest(exchange, ended.signal).finally(() => {
            demand.recordInFlight(service, -1);
            clearTimeout(timer);
            response.off("close", handleClose);
        });
        if (end.isRelayed) {
            metrics.countRequest(service, "relayed");
            limitUnreadTime(open);
            if (successes++ % SUCCESSES_PER_LOG_LINE === 0) {
                logSuccess(components, exchange);
            }
            return;
        }
        if (end.failure === undefined) {
            metrics.countRequest(service, "closed");
            open.end = ended.signal.reason === AttemptOutcome.CallerGone ? RequestEnd.Left : RequestEnd.Cut;
            abandonAnswer(response);
            return;
        }
        if (exchange.account !== undefined && end.failure.execution === Execution.NotRun) {
            quotas.refund(exchange.account, charged.amount, charged.atMs);
        }
        sendFailureAnswer(open, end.failure);
    };

    /** Breaks an answer off if its caller doesn't read it, since its bytes are held until then. */
    const limitUnreadTime = (open: OpenRequest) => {
        const { response } = open;
        const idleTimeoutMs = configuration.readCurrent()?.configuration.limits.idleTimeoutMs;
        if (response.writableFinished || idleTimeoutMs === undefined) {
            return;
        }
        response.setTimeout(idleTimeoutMs, () => {
            open.end = RequestEnd.Cut;
            abandonAnswer(response);
        });
    };

    /** Handles one request of a connection at a time: the answer before it may close the connection. */
    const handleInTurn = async (open: OpenRequest, receivedAtMs: number, headError: unknown) => {
        if (await connections.waitForTurn(open.request, open.response)) {
            open.phase = RequestPhase.Waiting;
            if (headError !== undefined) {
                throw headError;
            }
            await forward(open, receivedAtMs);
            return;
        }
        openRequests.dropRequest(open);
        open.request.resume();
    };

    /** Gives a request its answer at the end of a stop; an error concerns this request alone. */
    const endRequest = (open: OpenRequest) => {
        try {
            (open.abort ?? (() => sendFailureAnswer(open, SHUTTING_DOWN_FAILURE)))();
        } catch (error) {
            handleFailure(open, error);
        }
    };

    /** Answers a request that an error inside the node has ended, unless its answer is on the way. */
    const handleFailure = (open: OpenRequest, error: unknown) => {
        const { response, head, phase } = open;
        reportFailure(FailureOwner.Request, error, { requestId: head.requestId });
        if (response.writableEnded) {
            return;
        }
        try {
            if (!response.headersSent) {
                sendFailureAnswer(open, phase === RequestPhase.Forwarded ? LATE_NODE_FAILURE : NODE_FAILURE);
                return;
            }
        } catch (furtherError) {
            reportFailure(FailureOwner.Request, furtherError, { requestId: head.requestId });
        }
        open.end = RequestEnd.Cut;
        abandonAnswer(response);
    };

    const handleRequest = (request: IncomingMessage, response: ServerResponse) => {
        const receivedAtMs = clock.readMonotonicMs();
        PROCESS_READ_TURNS.trackPieces(request);
        const { head, error: headError } = readHead(codec, request);
        const open = openRequests.addRequest(request, response, head);
        if (stop !== undefined) {
            response.setHeader("connection", "close");
        }
        response.once("close", () => {
            if (stop !== undefined) {
                request.socket.destroySoon();
            }
        });
        handleInTurn(open, receivedAtMs, headError).catch((error: unknown) => handleFailure(open, error));
    };

    const server = http.createServer(
        { keepAlive: true, noDelay: true, connectionsCheckingInterval: 1_000 },
        handleRequest,
    );
    const requestLimits = installRequestLimits(server, {
        ...computeRequestLimits(settings.memoryBytesMax),
        readUnreadTimeoutMs: () => {
            const idleTimeoutMs = configuration.readCurrent()?.configuration.limits.idleTimeoutMs ?? 0;
            return idleTimeoutMs > 0 ? idleTimeoutMs : UNREAD_TIMEOUT_MS;
        },
        reportAction: createLimitReport(components, REQUESTS_LIMITED, () => limited.count()),
    });
    const connections: CallerConnections = createCallerConnections(server, clock);
    const connectionLimit = computeConnectionLimit(settings.descriptorsMax, readKernelLimits());
    const limited = installConnectionLimit(server, connectionLimit, {
        clock,
        closeConnection: connections.closeConnection,
        reportAction: createLimitReport(components, CONNECTIONS_LIMITED, () => limited.count()),
    });
    configuration.watchConfiguration(({ configuration: { limits } }) => {
        server.keepAliveTimeout = limits.idleTimeoutMs;
        server.headersTimeout = limits.headerTimeoutMs;
        server.requestTimeout = 0;
    });
    return {
        server,
        isTaken,
        countOpen: () => openRequests.list().length + connections.countConnections().unfinished,
        countCallers: () => ({
            ...connections.countConnections(),
            phases: openRequests.countPhases(),
            ends: openRequests.countEnds(),
        }),
        countLimitActions: limited.countActions,
        requestLimits,
        beginDrain: times => {
            stop = { times, signalledAtMs: clock.readMonotonicMs() };
            openRequests
                .list()
                .filter(({ response }) => !response.headersSent)
                .forEach(({ response }) => response.setHeader("connection", "close"));
            components.admission.beginStop();
        },
        endRequests: () => {
            openRequests
                .list()
                .filter(({ response, phase }) => !response.headersSent && phase !== RequestPhase.Queued)
                .forEach(open => endRequest(open));
            connections.answerUnfinished(SHUTTING_DOWN_ANSWER);
        },
        abandonRequests: () =>
            openRequests.list().forEach(open => {
                open.end = RequestEnd.Cut;
                open.abort?.();
                abandonAnswer(open.response);
            }),
        closeIdle: () => {
            // The method of http.Server would also destroy idle connections, with the bytes of a request on the way.
            net.Server.prototype.close.call(server);
            connections.closeIdle();
        },
    };
}
