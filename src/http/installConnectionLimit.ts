/**
 * @module Limits the connections of a server.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import https from "node:https";
import type { Socket } from "node:net";
import type { Clock } from "../base/clock";
import { createFailure } from "../base/createFailure";
import { createOrderedSet } from "../base/createOrderedSet";
import { createSystemClock } from "../base/createSystemClock";
import { FailureKind } from "../base/failure";
import { createIdleConnections, type IdleCandidate, QUIET_MS } from "./createIdleConnections";
import { createRequestTracker, type RequestTracker } from "./createRequestTracker";
import { dropFurtherBytes } from "./dropFurtherBytes";
import { endConnection, ROOM_LINGER_MS } from "./endConnection";
import { formatRawFailure } from "./formatRawFailure";
import { installErrorResponses } from "./installErrorResponses";

/** What was done to keep the connections of a server within their limit. */
export enum LimitAction {
    /** An idle connection was closed. */
    IdleClosed = "idleClosed",
    /** A connection within a head was answered with 503 and closed. */
    UnfinishedRefused = "unfinishedRefused",
    /** A connection that had been closed from this side was not read until its caller closes it too. */
    ClosingCut = "closingCut",
    /** A new connection was answered with 503 and closed. */
    NewRefused = "newRefused",
}

/** The open connections of a server. */
export interface ConnectionCounter {
    readonly sockets: ReadonlySet<Socket>;
    count(): number;
    /** Counts what was done because of the limit since the start. */
    countActions(): Readonly<Record<LimitAction, number>>;
}

/** How the limit is kept. */
export interface ConnectionLimitOptions {
    /** Measures idle time; default: the system's clock. */
    readonly clock?: Clock;
    /** Closes a connection from this side, after an answer if there is one; default: it is not read any more. */
    readonly closeConnection?: (socket: Socket, lastAnswer: string | undefined) => void;
    /** Called after each action. */
    readonly reportAction?: (action: LimitAction) => void;
}

/** Share of the limit beyond which connections that callers have not used for long are closed. */
const ROOM_SHARE = 0.875;
const LONG_IDLE_MS = 5_000;
/** Share of the limit beyond which any idle connection is closed, so that there is room while it closes. */
const NEAR_SHARE = 0.97;
/** Most connections that are closed for a new one: after a burst there is room again soon. */
const CLOSED_PER_NEW = 2;
/** Connections beyond the limit that may be closing, as a share of it; beyond that the longest closing is cut. */
const CLOSING_SHARE = 0.05;

const TOO_MANY_CONNECTIONS_ANSWER = formatRawFailure(
    "503 Service Unavailable",
    createFailure(FailureKind.TooManyConnections, "This node has too many connections.", { retryAfterMs: 1_000 }),
);

/**
 * Installs a limit on connections and the handling of malformed requests on a server. Beyond a share of the limit, each
 * new connection closes the longest idle ones. Connections with an open request are never closed.
 *
 * @param server - The server
 * @param limit - Maximum number of open connections; a further one for which none can be closed is answered with 503
 * @param options - How the limit is kept
 * @returns The counter of open connections
 * @example
 * const connections = installConnectionLimit(server, 10_000);
 */
export function installConnectionLimit(
    server: Server,
    limit: number,
    options: ConnectionLimitOptions = {},
): ConnectionCounter {
    const { clock = createSystemClock(), closeConnection = closeUnread, reportAction = () => undefined } = options;
    const sockets = new Set<Socket>();
    const closing = createOrderedSet<Socket>();
    const idleConnections = createIdleConnections<TrackedConnection>(clock);
    const connections = new WeakMap<Socket, TrackedConnection>();
    const actions = {
        [LimitAction.IdleClosed]: 0,
        [LimitAction.UnfinishedRefused]: 0,
        [LimitAction.ClosingCut]: 0,
        [LimitAction.NewRefused]: 0,
    };
    const recordAction = (action: LimitAction) => {
        actions[action]++;
        reportAction(action);
    };
    const close = (socket: Socket, action: LimitAction) => {
        closing.add(socket);
        closeConnection(socket, action === LimitAction.IdleClosed ? undefined : TOO_MANY_CONNECTIONS_ANSWER);
        recordAction(action);
    };
    const countOpen = () => sockets.size - closing.count();
    const closeLongestIdle = (newcomer: TrackedConnection) => {
        const quietMs = countOpen() > limit * NEAR_SHARE ? QUIET_MS : LONG_IDLE_MS;
        const chosen = idleConnections.chooseLongestIdle(newcomer.address, quietMs);
        if (chosen !== undefined) {
            const { candidate, isUnfinished } = chosen;
            idleConnections.removeIdle(candidate);
            close(candidate.socket, isUnfinished ? LimitAction.UnfinishedRefused : LimitAction.IdleClosed);
        }
    };
    const cutLongestClosing = () => {
        const socket = closing.getFirst();
        if (socket !== undefined) {
            closing.remove(socket);
            sockets.delete(socket);
            socket.destroy();
            recordAction(LimitAction.ClosingCut);
        }
    };
    const handleConnection = (socket: Socket) => {
        const connection = createTrackedConnection(socket);
        sockets.add(socket);
        connections.set(socket, connection);
        socket.once("close", () => {
            sockets.delete(socket);
            closing.remove(socket);
            idleConnections.removeIdle(connection);
        });
        for (let count = 0; count < CLOSED_PER_NEW && countOpen() > limit * ROOM_SHARE; count++) {
            closeLongestIdle(connection);
        }
        if (countOpen() > limit) {
            close(socket, LimitAction.NewRefused);
        } else {
            idleConnections.addIdle(connection);
        }
        if (sockets.size > limit * (1 + CLOSING_SHARE) + 1) {
            cutLongestClosing();
        }
    };
    server.on(server instanceof https.Server ? "secureConnection" : "connection", handleConnection);
    server.on("request", (request: IncomingMessage, response: ServerResponse) => {
        const connection = connections.get(request.socket);
        if (connection !== undefined) {
            idleConnections.removeIdle(connection);
            connection.beginRequest(request);
            response.once("close", () => {
                connection.endRequest();
                const isKept = !request.socket.destroyed && !closing.has(request.socket);
                if (isKept && !connection.hasOpenRequests()) {
                    idleConnections.addIdle(connection);
                }
            });
        }
    });
    installErrorResponses(server);
    return { sockets, count: () => sockets.size, countActions: () => ({ ...actions }) };
}

/** A connection with what tells whether it is idle. */
interface TrackedConnection extends IdleCandidate, RequestTracker {
    readonly socket: Socket;
}

function createTrackedConnection(socket: Socket): TrackedConnection {
    return { socket, address: socket.remoteAddress ?? "", ...createRequestTracker(socket) };
}

/** Closes a connection whose requests nothing else drops. */
function closeUnread(socket: Socket, lastAnswer: string | undefined): void {
    dropFurtherBytes(socket);
    socket.on("error", () => undefined);
    endConnection(socket, lastAnswer ?? "", ROOM_LINGER_MS);
}
