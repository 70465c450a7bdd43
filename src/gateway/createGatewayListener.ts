/**
 * @module The callers' listener: admission of requests, and their final answers.
 */
import http, { type IncomingMessage, type ServerResponse } from "node:http";
import { createFailure } from "../base/createFailure";
import { Execution, type Failure, FailureKind } from "../base/failure";
import type { AccountQuotas } from "../decisions/gateway/accountQuotas";
import { AttemptEnd } from "../decisions/gateway/decideAttemptStep";
import { findRoute } from "../decisions/gateway/routeTable";
import { installConnectionLimit } from "../http/installConnectionLimit";
import { readBody } from "../http/readBody";
import { sendFailure } from "../http/sendFailure";
import { type GatewayAccount, type GatewayRoute } from "../model/gateway";
import type { CallerHead } from "../ports/forwardingCodec";
import { QUOTA_RETRY_AFTER_MS, RETRY_AFTER_MS } from "./constants";
import type { ConfigurationView } from "./createConfigurationHolder";
import type { Forwarder } from "./createForwarder";
import type { GatewayExchange } from "./exchange";
import type { GatewayParts } from "./gatewayParts";
import { waitUntilKnown } from "./waitUntilKnown";

/** Kept below the bound for the time from the check to the send. */
const REVOKE_MARGIN_MS = 250;
/** Connections that other parts of the process need. */
const RESERVED_DESCRIPTORS = 700;
/** Longest deadline of a caller that is taken over, a day. */
const DEADLINE_LONGEST_MS = 86_400_000;
/** Longest wait of a request for a node that has just started: a few ways to the store of another region. */
const KNOWN_WAIT_MS = 400;
/** Successes of which one is logged. */
const LOGGED_SUCCESS_PERIOD = 50;

/** The callers' listener. */
export interface GatewayListener {
    readonly server: http.Server;
    /** Requests that have no final answer yet. */
    countOpen(): number;
    /** From now on each answer closes its connection. */
    beginDrain(): void;
    /** Closes connections without a request, and takes no new ones. */
    closeIdle(): void;
}

/** What the listener needs beside the parts. */
export interface GatewayListenerOptions {
    readonly parts: GatewayParts;
    readonly forwarder: Forwarder;
    readonly quotas: AccountQuotas;
}

interface Admitted {
    readonly route: GatewayRoute;
    readonly account: GatewayAccount | undefined;
    readonly view: ConfigurationView;
}

/**
 * Creates the listener; it does not listen yet.
 *
 * @param options - What it needs
 * @returns The listener
 * @example
 * await startListening(listener.server, settings.callers);
 */
export function createGatewayListener(options: GatewayListenerOptions): GatewayListener {
    const { parts, forwarder, quotas } = options;
    const { clock, demand, configuration, codec, log, metrics, settings } = parts;
    let isDraining = false;
    let open = 0;
    let successes = 0;

    const refuseStale = (): Failure | undefined =>
        configuration.computeAgeMs() > settings.bounds.revokeMs - REVOKE_MARGIN_MS
            ? createFailure(FailureKind.StoreUnavailable, "The keys in force can't be confirmed.", {
                  retryAfterMs: RETRY_AFTER_MS,
              })
            : undefined;

    const admitHead = (request: IncomingMessage, head: CallerHead): Admitted | Failure => {
        const view = configuration.readCurrent();
        if (view === undefined) {
            return createFailure(FailureKind.StoreUnavailable, "No configuration is known yet.", {
                retryAfterMs: RETRY_AFTER_MS,
            });
        }
        const route = findRoute(view.routes, request.headers.host ?? "", request.url ?? "/");
        if (route === undefined) {
            return createFailure(FailureKind.NotFound, "No route matches the host and path.");
        }
        if (route.isAnonymous || view.configuration.accounts.length === 0) {
            return { route, account: undefined, view };
        }
        const stale = refuseStale();
        if (stale !== undefined) {
            return stale;
        }
        const account = head.key === undefined ? undefined : view.accountsByKey.get(head.key);
        return account === undefined
            ? createFailure(FailureKind.Unauthenticated, "The key is not known.")
            : { route, account, view };
    };

    const chargeQuota = (admitted: Admitted, head: CallerHead): { amount: number } | Failure => {
        const { account } = admitted;
        if (account === undefined) {
            return { amount: 0 };
        }
        const tokens = (head.promptTokens ?? 0) + (head.outputTokensMax ?? 0);
        const amount = account.countsTokens ? tokens || account.defaultTokens : 1;
        return quotas.charge(account, amount, parts.peers.readView(), clock.readMonotonicMs())
            ? { amount }
            : createFailure(FailureKind.QuotaExceeded, "The account's quota is used up.", {
                  retryAfterMs: QUOTA_RETRY_AFTER_MS,
              });
    };

    const answerFailure = (request: IncomingMessage, response: ServerResponse, failure: Failure, head: CallerHead) => {
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
        if (isDraining || failure.kind === FailureKind.StoreUnavailable) {
            response.setHeader("connection", "close");
        }
        if (!request.complete) {
            request.resume();
        }
        sendFailure(response, failure, head.requestId, { hasFractionalRetryAfter: true });
    };

    const forward = async (
        request: IncomingMessage,
        response: ServerResponse,
        head: CallerHead,
        receivedAtMs: number,
    ) => {
        await waitUntilKnown(parts, KNOWN_WAIT_MS);
        const admitted = admitHead(request, head);
        if ("kind" in admitted) {
            answerFailure(request, response, admitted, head);
            return;
        }
        const { limits } = admitted.view.configuration;
        const body = await readBody(request, { bodyBytes: limits.bodyBytesMax, idleMs: limits.idleTimeoutMs });
        if (body.isErr()) {
            answerFailure(request, response, body.error, head);
            return;
        }
        // The configuration may have changed, and the confirmation grown old, while the body arrived.
        const current = admitHead(request, head);
        if ("kind" in current) {
            answerFailure(request, response, current, head);
            return;
        }
        const charged = chargeQuota(current, head);
        if ("kind" in charged) {
            answerFailure(request, response, charged, head);
            return;
        }
        await forwardAdmitted(
            buildExchange(parts, { request, response, head, receivedAtMs, body: body.value, ...current }),
            charged.amount,
        );
    };

    const forwardAdmitted = async (exchange: GatewayExchange, amount: number) => {
        const { response, service } = exchange;
        const ended = new AbortController();
        const timer = setTimeout(
            () => ended.abort(AttemptEnd.TimedOut),
            Math.max(0, exchange.endsAtMs - clock.readMonotonicMs()),
        );
        const handleClose = () => ended.abort(AttemptEnd.CallerGone);
        response.once("close", handleClose);
        if (isDraining) {
            response.setHeader("connection", "close");
        }
        demand.recordInFlight(service, 1);
        metrics.recordOverhead(clock.readMonotonicMs() - exchange.receivedAtMs);
        const end = await forwarder.forwardRequest(exchange, ended.signal);
        demand.recordInFlight(service, -1);
        clearTimeout(timer);
        response.off("close", handleClose);
        if (end.isRelayed) {
            metrics.countRequest(service, "relayed");
            if (successes++ % LOGGED_SUCCESS_PERIOD === 0) {
                logSuccess(parts, exchange);
            }
            return;
        }
        if (end.failure === undefined) {
            metrics.countRequest(service, "closed");
            response.destroy();
            return;
        }
        if (exchange.account !== undefined && end.failure.execution === Execution.NotRun) {
            quotas.refund(exchange.account, amount, clock.readMonotonicMs());
        }
        answerFailure(exchange.request, response, end.failure, exchange.head);
    };

    const handleRequest = (request: IncomingMessage, response: ServerResponse) => {
        const receivedAtMs = clock.readMonotonicMs();
        const head = codec.readCallerHead(request.headers);
        open++;
        response.once("close", () => open--);
        forward(request, response, head, receivedAtMs).catch((error: unknown) => {
            log.error("request failed inside the node", {
                requestId: head.requestId,
                reason: error instanceof Error ? (error.stack ?? error.message) : String(error),
            });
            response.destroy();
        });
    };

    const server = http.createServer(
        { keepAlive: true, noDelay: true, connectionsCheckingInterval: 1_000 },
        handleRequest,
    );
    installConnectionLimit(server, Math.max(100, settings.descriptorsMax - RESERVED_DESCRIPTORS));
    configuration.watchConfiguration(({ configuration: { limits } }) => {
        server.keepAliveTimeout = limits.idleTimeoutMs;
        server.headersTimeout = limits.headerTimeoutMs;
        server.requestTimeout = 0;
    });
    return {
        server,
        countOpen: () => open,
        beginDrain: () => {
            isDraining = true;
        },
        closeIdle: () => {
            server.close();
            server.closeIdleConnections();
        },
    };
}

function buildExchange(
    parts: GatewayParts,
    from: Admitted & Pick<GatewayExchange, "request" | "response" | "head" | "receivedAtMs" | "body">,
): GatewayExchange {
    const { route, account, view, head, receivedAtMs } = from;
    const deadlineAtMs = receivedAtMs + Math.min(head.deadlineMs ?? route.timeoutMs, DEADLINE_LONGEST_MS);
    return {
        request: from.request,
        response: from.response,
        head,
        route,
        service: chooseService(route, parts.random.drawFraction()),
        account: account?.name,
        priority: account?.priority ?? route.priority,
        body: from.body,
        receivedAtMs,
        deadlineAtMs,
        endsAtMs: Math.min(deadlineAtMs, receivedAtMs + route.timeoutMs),
        configurationVersion: view.configuration.version,
    };
}

/** Chooses one of a route's services by weight. */
function chooseService(route: GatewayRoute, fraction: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let rest = fraction * total;
    for (const target of route.targets) {
        rest -= target.weight;
        if (rest < 0) {
            return target.service;
        }
    }
    return route.targets.at(-1)?.service ?? "";
}

function logSuccess({ log, clock }: GatewayParts, exchange: GatewayExchange): void {
    log.info("request relayed", {
        requestId: exchange.head.requestId,
        route: exchange.route.name,
        service: exchange.service,
        durationMs: Math.round(clock.readMonotonicMs() - exchange.receivedAtMs),
        configurationVersion: exchange.configurationVersion,
    });
}
