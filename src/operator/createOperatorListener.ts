/**
 * @module The HTTP listener for operators.
 */
import http from "node:http";
import https from "node:https";
import { err, ok, type Result } from "neverthrow";
import { ulid } from "ulid";
import { createFailure } from "../base/createFailure";
import { startTask, type TaskGenerator, waitFor } from "../base/csp";
import type { DumpSource } from "../base/dump";
import { type Failure, FailureKind } from "../base/failure";
import type { Log } from "../base/log/log";
import { Metric } from "../base/metrics/metric";
import type { Metrics } from "../base/metrics/metrics";
import { buildCommandRoutes } from "../commands/buildCommandRoutes";
import { closeConnections } from "../http/closeConnections";
import { createOpenRequests } from "../http/createOpenRequests";
import { installConnectionLimit } from "../http/installConnectionLimit";
import { installRequestLimits } from "../http/installRequestLimits";
import { PRODUCT_REQUEST_LIMITS } from "../http/productRequestLimits";
import { parseJson } from "../http/parseJson";
import { readBody } from "../http/readBody";
import { sendJson } from "../http/sendJson";
import type { TlsIdentity } from "../http/tlsIdentity";
import { sendFailure } from "../http/sendFailure";
import { openListener } from "../http/openListener";
import type { ListenerSupervision } from "../http/retryListening";
import { buildQueryRoutes } from "../queries/buildQueryRoutes";
import { authenticateOperator } from "./authenticateOperator";
import {
    OPERATOR_ARRIVAL_MS,
    OPERATOR_BODY_BYTES,
    OPERATOR_CHECK_INTERVAL_MS,
    OPERATOR_CONNECTIONS,
    OPERATOR_HEADER_BYTES,
    OPERATOR_HEADER_MS,
} from "./constants";
import { type MatchedOperatorRoute, matchOperatorRoute } from "./matchOperatorRoute";
import type { OperatorDependencies } from "./operatorDependencies";
import type { OperatorRoute } from "./operatorRoute";

/** How the listener is set up. */
export interface OperatorListenerOptions {
    /** IP number to listen on. */
    readonly address: string;
    /** 0 lets the system choose. */
    readonly port: number;
    /** How long the address is tried; default: once. */
    readonly supervision?: ListenerSupervision;
    /** Absent for plain HTTP. */
    readonly identity?: TlsIdentity;
    /** SHA-256 of each operator key, hexadecimal. */
    readonly keyHashes: readonly string[];
    readonly log: Log;
    readonly metrics: Metrics;
    /** Replaces limits, for tests. */
    readonly limits?: Partial<OperatorLimits>;
}

/** Limits of the listener. */
export interface OperatorLimits {
    readonly bodyBytes: number;
    readonly headerMs: number;
    readonly connections: number;
}

/** The running listener. */
export interface OperatorListener extends DumpSource {
    readonly port: number;
    /**
     * Refuses new requests and ends those in progress within `timeoutMs`, with a failure where they have no answer; gives
     * the number it cut.
     */
    finish(timeoutMs: number): Promise<number>;
    /** Uses another certificate for new connections. */
    replaceIdentity(identity: TlsIdentity): void;
    /** Closes the listener and all its connections. */
    dispose(): void;
}

interface Exchange {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly requestId: string;
}

interface AuthorizedExchange extends MatchedOperatorRoute {
    readonly url: URL;
    readonly operator: string;
}

/**
 * Creates and starts the listener for operators. The key is checked before anything else of a request is looked at.
 *
 * @param dependencies - The handles that queries and commands use
 * @param options - Address, TLS, keys and observers
 * @returns The running listener; rejects if the address can't be listened on
 * @example
 * const listener = await createOperatorListener(dependencies, { address: "127.0.0.1", port: 0, keyHashes, log, metrics });
 */
export async function createOperatorListener(
    dependencies: OperatorDependencies,
    options: OperatorListenerOptions,
): Promise<OperatorListener> {
    const limits = { ...DEFAULT_LIMITS, ...options.limits };
    const routes = [...buildQueryRoutes(dependencies), ...buildCommandRoutes(dependencies)];
    const openRequests = createOpenRequests(limits.headerMs);
    let served = 0;
    const handleRequest: http.RequestListener = (request, response) => {
        served++;
        const exchange = { request, response, requestId: ulid() };
        response.setHeader("redwinglift-request-id", exchange.requestId);
        const release = openRequests.begin(response, exchange.requestId);
        void serveExchange(exchange, routes, { ...limits, stopped: openRequests.stopped }, options).then(release);
    };
    const server = createServer(options, limits, handleRequest);
    installRequestLimits(server, {
        ...PRODUCT_REQUEST_LIMITS,
        reportAction: outcome => options.metrics.count(Metric.ListenerLimits, { operation: "operators", outcome }),
    });
    const connections = installConnectionLimit(server, limits.connections);
    const { address, supervision } = options;
    const port = await openListener({ name: "operators", server, address, port: options.port }, supervision);
    return {
        name: "operator-listener",
        port,
        replaceIdentity: identity => {
            if (server instanceof https.Server) {
                server.setSecureContext({ key: identity.key, cert: identity.certificate });
            }
        },
        finish: async timeoutMs => {
            const cut = await openRequests.finish(timeoutMs);
            await closeConnections(server, connections.sockets);
            return cut;
        },
        dumpState: () => ({ connections: connections.count(), requestsServed: served }),
        dispose: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

const DEFAULT_LIMITS: OperatorLimits = {
    bodyBytes: OPERATOR_BODY_BYTES,
    headerMs: OPERATOR_HEADER_MS,
    connections: OPERATOR_CONNECTIONS,
};

/** Limits of one request, and the signal that the node stops. */
interface ExchangeLimits extends OperatorLimits {
    readonly stopped: AbortSignal;
}

async function serveExchange(
    exchange: Exchange,
    routes: readonly OperatorRoute[],
    limits: ExchangeLimits,
    options: OperatorListenerOptions,
): Promise<void> {
    const authorized = limits.stopped.aborted
        ? err(createFailure(FailureKind.ShuttingDown, "This node is leaving.", { retryAfterMs: 0 }))
        : admitExchange(exchange.request, routes, options.keyHashes);
    if (authorized.isErr()) {
        exchange.request.resume();
        sendFailure(exchange.response, authorized.error, exchange.requestId);
        reportEnd(exchange, undefined, authorized.error, options);
        return;
    }
    let failure: Failure | undefined;
    const task = startTask(`operator-request-${exchange.requestId}`, function* () {
        const result = yield* runHandler(exchange, authorized.value, limits);
        failure = result.isErr() ? result.error : undefined;
        if (result.isErr()) {
            sendFailure(exchange.response, result.error, exchange.requestId);
        } else {
            sendJson(exchange.response, 200, result.value);
        }
    });
    const end = await task.ended;
    if (end.failure !== undefined) {
        const shown = createFailure(FailureKind.Internal, "The request failed inside the system.");
        sendFailure(exchange.response, shown, exchange.requestId);
    }
    reportEnd(exchange, authorized.value, end.failure ?? failure, options);
}

function admitExchange(
    request: http.IncomingMessage,
    routes: readonly OperatorRoute[],
    keyHashes: readonly string[],
): Result<AuthorizedExchange, Failure> {
    return authenticateOperator(request.headers.authorization, keyHashes).andThen(operator =>
        parseUrl(request.url).andThen(url =>
            matchOperatorRoute(routes, request.method ?? "GET", url.pathname).map(match => ({
                ...match,
                url,
                operator,
            })),
        ),
    );
}

function parseUrl(text = "/"): Result<URL, Failure> {
    return URL.canParse(text, "http://operator")
        ? ok(new URL(text, "http://operator"))
        : err(createFailure(FailureKind.InvalidRequest, "The path of the request is not valid."));
}

function* runHandler(
    exchange: Exchange,
    authorized: AuthorizedExchange,
    limits: ExchangeLimits,
): TaskGenerator<Result<unknown, Failure>> {
    const { route, pathParameters, url } = authorized;
    const body = yield* readJsonBody(exchange.request, route, limits);
    if (body.isErr()) {
        return err(body.error);
    }
    return yield* waitFor(route.handler({ pathParameters, searchParameters: url.searchParams, body: body.value }));
}

function* readJsonBody(
    request: http.IncomingMessage,
    route: OperatorRoute,
    limits: ExchangeLimits,
): TaskGenerator<Result<unknown, Failure>> {
    if (route.method === "GET" || route.method === "DELETE") {
        request.resume();
        return ok(undefined);
    }
    const body = yield* waitFor(readBody(request, { ...limits, idleMs: limits.headerMs }));
    return body.andThen(parseJson);
}

function reportEnd(
    exchange: Exchange,
    authorized: AuthorizedExchange | undefined,
    failure: Failure | undefined,
    options: OperatorListenerOptions,
): void {
    const operation = authorized?.route.operation ?? "unknown";
    const outcome = failure?.kind ?? "ok";
    options.metrics.count(Metric.OperatorRequests, { operation, outcome });
    options.log.info("operator request finished", {
        requestId: exchange.requestId,
        operation,
        names: authorized?.pathParameters.join(" "),
        operator: authorized?.operator,
        outcome,
        reason: failure?.message,
    });
}

function createServer(
    options: OperatorListenerOptions,
    limits: OperatorLimits,
    handleRequest: http.RequestListener,
): http.Server | https.Server {
    const settings = {
        headersTimeout: limits.headerMs,
        requestTimeout: OPERATOR_ARRIVAL_MS,
        connectionsCheckingInterval: OPERATOR_CHECK_INTERVAL_MS,
        maxHeaderSize: OPERATOR_HEADER_BYTES,
    };
    const { identity } = options;
    return identity === undefined
        ? http.createServer(settings, handleRequest)
        : https.createServer(
              { ...settings, key: identity.key, cert: identity.certificate, minVersion: "TLSv1.2" },
              handleRequest,
          );
}
