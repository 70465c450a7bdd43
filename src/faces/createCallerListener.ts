/**
 * @module The HTTP listener for callers: connections, limits, authentication and dispatch.
 */
import http from "node:http";
import https from "node:https";
import { err, ok, type Result } from "neverthrow";
import { ulid } from "ulid";
import { startTask } from "../base/csp";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { closeConnections } from "../http/closeConnections";
import { createLastAnswers } from "../http/createLastAnswers";
import { createOpenRequests } from "../http/createOpenRequests";
import { installConnectionLimit } from "../http/installConnectionLimit";
import { installRequestLimits, type RequestLimitAction } from "../http/installRequestLimits";
import { PRODUCT_REQUEST_LIMITS } from "../http/productRequestLimits";
import { sendJson } from "../http/sendJson";
import type { Account } from "../model/configuration";
import { authenticateAccount } from "./authenticateAccount";
import type { CallerLimits } from "../settings/settings";
import type { CallerDependencies } from "./callerDependencies";
import type { CallerListener, ExchangeSummary } from "./callerListener";
import type { TlsIdentity } from "../http/tlsIdentity";
import { buildCallerRoutes, type CallerRoute, matchCallerRoute, type MatchedRoute } from "./callerRoutes";
import {
    CONNECTION_CHECK_INTERVAL_MS,
    LARGEST_HEADER_BYTES,
    LONGEST_ARRIVAL_MS,
    RESPONSE_BUFFER_BYTES,
} from "./constants";
import type { ExchangeEnd, HttpExchange } from "./httpExchange";
import { sendFailure } from "../http/sendFailure";
import { openListener } from "../http/openListener";
import type { ListenerSupervision } from "../http/retryListening";

const BASE_URL = "http://localhost";

/** How the listener is set up. */
export interface CallerListenerOptions {
    /** IP number to listen on. */
    readonly address: string;
    /** 0 lets the system choose. */
    readonly port: number;
    /** How long the address is tried; default: once. */
    readonly supervision?: ListenerSupervision;
    readonly limits: CallerLimits;
    /** Absent for plain HTTP. */
    readonly identity?: TlsIdentity;
    /** Whether this node may be given callers; asked by `/health/ready`. */
    readonly isReady: () => boolean;
    readonly reportEnd: (summary: ExchangeSummary) => void;
    /** Called after each action because of requests sent ahead or unread responses. */
    readonly reportLimit?: (action: RequestLimitAction) => void;
}

/**
 * Creates and starts the listener for callers.
 *
 * @param dependencies - The handles that the handlers use
 * @param options - Address, limits, TLS and observers
 * @returns The running listener; rejects if the address can't be listened on
 * @example
 * const listener = await createCallerListener(dependencies, { address: "127.0.0.1", port: 0, ... });
 */
export async function createCallerListener(
    dependencies: Omit<CallerDependencies, "limits">,
    options: CallerListenerOptions,
): Promise<CallerListener> {
    const openRequests = createOpenRequests(options.limits.idleMs);
    const lastAnswers = createLastAnswers();
    const limits = { ...options.limits, stopped: openRequests.stopped };
    const routes = buildCallerRoutes({ ...dependencies, limits });
    let isLeaving = false;
    let isRefusing = false;

    const handleRequest = (request: http.IncomingMessage, response: http.ServerResponse) => {
        const arrival: Arrival = {
            requestId: ulid(),
            receivedAtMs: dependencies.clock.readMonotonicMs(),
            url: parseTarget(request.url),
        };
        response.setHeader("redwinglift-request-id", arrival.requestId);
        if (isLeaving && !lastAnswers.setLast(response)) {
            request.resume();
            return;
        }
        if (sendHealth(arrival.url.pathname, response, () => options.isReady() && !isLeaving)) {
            return;
        }
        const release = openRequests.begin(response, arrival.requestId);
        const admitted = checkCapacity().andThen(() => matchExchange(routes, request, arrival.url, listAccounts()));
        const finish = (end: ExchangeEnd) => {
            release();
            const durationMs = dependencies.clock.readMonotonicMs() - arrival.receivedAtMs;
            const accountName = admitted.map(match => match.account.name).unwrapOr("");
            options.reportEnd(buildSummary(request, response, arrival, { ...end, durationMs, accountName }));
        };
        if (admitted.isErr()) {
            request.resume();
            sendFailure(response, admitted.error, arrival.requestId);
            finish({ failure: admitted.error });
            return;
        }
        const { account, route } = admitted.value;
        const callerGone = createGoneSignal(response);
        const { pathParameters } = route;
        runExchange({ request, response, account, pathParameters, callerGone, ...arrival }, route, finish);
    };

    const listAccounts = () => Object.values(dependencies.configuration.readCurrent().accounts);

    const checkCapacity = (): Result<void, Failure> => {
        if (isRefusing) {
            return err(createFailure(FailureKind.ShuttingDown, "This node is leaving.", { retryAfterMs: 0 }));
        }
        if (openRequests.count() > options.limits.openRequests) {
            const message = "This node has too many requests in progress.";
            return err(createFailure(FailureKind.TooManyConnections, message, { retryAfterMs: 1_000 }));
        }
        return ok(undefined);
    };

    const server = createServer(options, handleRequest);
    installRequestLimits(server, { ...PRODUCT_REQUEST_LIMITS, reportAction: options.reportLimit });
    const connections = installConnectionLimit(server, options.limits.connections);
    const { address, supervision } = options;
    const port = await openListener({ name: "callers", server, address, port: options.port }, supervision);
    return {
        name: "caller-listener",
        port,
        announceLeaving: () => {
            isLeaving = true;
        },
        refuseNew: () => {
            isLeaving = true;
            isRefusing = true;
        },
        waitUntilIdle: timeoutMs => openRequests.waitUntilNone(timeoutMs),
        finish: async timeoutMs => {
            const cut = await openRequests.finish(timeoutMs);
            await closeConnections(server, connections.sockets);
            return cut;
        },
        countOpenRequests: () => openRequests.count(),
        replaceIdentity: identity => {
            if (server instanceof https.Server) {
                server.setSecureContext({ key: identity.key, cert: identity.certificate });
            }
        },
        dumpState: () => ({
            isLeaving,
            isRefusing,
            openRequests: openRequests.count(),
            connections: connections.count(),
        }),
        dispose: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

// A target such as `//` is no URL; it is looked up as a path that no route serves.
function parseTarget(target: string | undefined): URL {
    const text = target ?? "/";
    return URL.canParse(text, BASE_URL) ? new URL(text, BASE_URL) : new URL("/unreadable", BASE_URL);
}

type Arrival = Pick<HttpExchange, "requestId" | "url" | "receivedAtMs">;

interface MatchedExchange {
    readonly account: Account;
    readonly route: MatchedRoute;
}

function matchExchange(
    routes: readonly CallerRoute[],
    request: http.IncomingMessage,
    url: URL,
    accounts: readonly Account[],
): Result<MatchedExchange, Failure> {
    return authenticateAccount(request.headers.authorization, accounts).andThen(account =>
        matchCallerRoute(routes, request.method ?? "GET", url.pathname).map(route => ({ account, route })),
    );
}

function buildSummary(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    arrival: Arrival,
    end: ExchangeEnd & { readonly durationMs: number; readonly accountName: string },
): ExchangeSummary {
    return {
        requestId: arrival.requestId,
        method: request.method ?? "",
        path: arrival.url.pathname,
        accountName: end.accountName,
        className: end.className,
        status: response.statusCode,
        failure: end.failure,
        durationMs: end.durationMs,
        outputTokens: end.outputTokens ?? 0,
    };
}

function createServer(options: CallerListenerOptions, handleRequest: http.RequestListener): http.Server | https.Server {
    const settings = {
        headersTimeout: options.limits.headerMs,
        requestTimeout: LONGEST_ARRIVAL_MS,
        keepAliveTimeout: options.limits.idleMs,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        maxHeaderSize: LARGEST_HEADER_BYTES,
        highWaterMark: RESPONSE_BUFFER_BYTES,
        noDelay: true,
    };
    return options.identity === undefined
        ? http.createServer(settings, handleRequest)
        : https.createServer(
              { ...settings, key: options.identity.key, cert: options.identity.certificate, minVersion: "TLSv1.2" },
              handleRequest,
          );
}

function sendHealth(path: string, response: http.ServerResponse, isReady: () => boolean): boolean {
    if (path === "/health/live") {
        sendJson(response, 200, { status: "live" });
        return true;
    }
    if (path === "/health/ready") {
        const ready = isReady();
        sendJson(response, ready ? 200 : 503, { status: ready ? "ready" : "not_ready" });
        return true;
    }
    return false;
}

function createGoneSignal(response: http.ServerResponse): AbortSignal {
    const controller = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}

function runExchange(exchange: HttpExchange, route: MatchedRoute, finish: (end: ExchangeEnd) => void): void {
    let end: ExchangeEnd = {};
    const task = startTask(`request-${exchange.requestId}`, function* () {
        end = yield* route.handler(exchange);
    });
    void task.ended.then(({ failure }) => {
        if (failure !== undefined) {
            const shown = createFailure(FailureKind.Internal, "The request failed inside the system.", {
                execution: end.failure?.execution ?? failure.execution,
            });
            sendFailure(exchange.response, shown, exchange.requestId);
        }
        finish(failure === undefined ? end : { ...end, failure });
    });
}
