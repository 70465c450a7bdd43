/**
 * @module Limits what callers make a server hold by requests that they send ahead and responses that they don't read.
 */
import diagnostics from "node:diagnostics_channel";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import https from "node:https";
import type { Socket } from "node:net";
import { createHeldBytes } from "./createHeldBytes";
import { createRequestGate, type RequestGate } from "./createRequestGate";

/** What was done because of the limits. The values appear in log lines and metrics. */
export enum RequestLimitAction {
    /** A connection was not read until one of its requests had ended. */
    Held = "held",
    /** A connection was closed since the bytes read ahead of all connections were at their limit. */
    ReadAheadClosed = "readAheadClosed",
    /** A connection was closed since the bytes of unread responses of all connections were at their limit. */
    UnreadClosed = "unreadClosed",
    /** A connection was closed since its caller had read nothing of whole responses for long. */
    UnreadTimedOut = "unreadTimedOut",
}

/** The limits of a server. */
export interface RequestLimits {
    /** Open requests of a connection at which no further one is read. */
    readonly openRequestsMax: number;
    /** Bytes read ahead on all connections whose reading has stopped. */
    readonly readAheadBytesMax: number;
    /** Bytes of whole responses on all connections that their callers have not read. */
    readonly unreadBytesMax: number;
    /** Gives the time without progress after which a connection with unread responses is closed; default: 15 s. */
    readonly readUnreadTimeoutMs?: () => number;
    /** Called after each action. */
    readonly reportAction?: (action: RequestLimitAction) => void;
}

/** What the limits have done. */
export interface RequestLimitCounter {
    /** Counts what was done because of the limits since the start. */
    countActions(): Readonly<Record<RequestLimitAction, number>>;
    /** Counts the bytes read ahead on connections whose reading has stopped, at most. */
    countReadAheadBytes(): number;
    /** Counts the bytes of whole responses that are not read. */
    countUnreadBytes(): number;
}

/** Node's socket reads on while it holds less than this, once more, and at most this much at once. */
const SOCKET_HIGH_WATER_BYTES = 16_384;
const SOCKET_READ_BYTES = 65_536;
const UNREAD_TIMEOUT_MS = 15_000;

/** A response with the connection that it belongs to. */
interface RequestStart {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly socket: Socket;
}

/** A connection whose requests are limited. */
interface LimitedConnection {
    readonly gate: RequestGate;
    /** Bytes of responses that have ended and are not sent. */
    readonly unread: Map<ServerResponse, number>;
    readonly updateUnread: () => void;
}

const connections = new WeakMap<Socket, LimitedConnection>();
/** The event `request` is not emitted for requests that Node answers itself, as those without a host. */
diagnostics.subscribe("http.server.request.start", message => {
    const { request, response, socket } = message as RequestStart;
    const connection = connections.get(socket);
    if (connection === undefined) {
        return;
    }
    const { gate, unread, updateUnread } = connection;
    gate.beginRequest(request);
    // No event tells that a response has ended which waits behind another one of its connection.
    const end = response.end.bind(response) as (...parameters: unknown[]) => ServerResponse;
    response.end = (...parameters: unknown[]) => {
        end(...parameters);
        if (!response.writableFinished && !response.destroyed) {
            unread.set(response, response.writableLength);
            updateUnread();
        }
        return response;
    };
    // The listeners of a request's handlers may be as many as Node expects at most.
    response.setMaxListeners(response.getMaxListeners() + 1);
    response.once("close", () => {
        unread.delete(response);
        updateUnread();
        gate.endRequest();
    });
});

/**
 * Installs the limits on a server. A caller with one request at a time on a connection never reaches them.
 *
 * @param server - The server; it does not listen yet
 * @param limits - The limits
 * @returns The counter of what they have done
 * @example
 * installRequestLimits(server, computeRequestLimits(settings.memoryBytesMax));
 */
export function installRequestLimits(server: Server, limits: RequestLimits): RequestLimitCounter {
    const { openRequestsMax, readAheadBytesMax, unreadBytesMax, reportAction = () => undefined } = limits;
    const actions = {
        [RequestLimitAction.Held]: 0,
        [RequestLimitAction.ReadAheadClosed]: 0,
        [RequestLimitAction.UnreadClosed]: 0,
        [RequestLimitAction.UnreadTimedOut]: 0,
    };
    const recordAction = (action: RequestLimitAction) => {
        actions[action]++;
        reportAction(action);
    };
    const closeFor = (action: RequestLimitAction) => (socket: Socket) => {
        socket.destroy();
        recordAction(action);
    };
    const readAhead = createHeldBytes<Socket>(readAheadBytesMax, closeFor(RequestLimitAction.ReadAheadClosed));
    const unreadBytes = createHeldBytes<Socket>(unreadBytesMax, closeFor(RequestLimitAction.UnreadClosed));
    const handleHeld = (socket: Socket, bytes: number) => {
        if (bytes === 0) {
            readAhead.setBytes(socket, 0);
            return;
        }
        recordAction(RequestLimitAction.Held);
        readAhead.setBytes(socket, bytes < SOCKET_HIGH_WATER_BYTES ? bytes + SOCKET_READ_BYTES : bytes);
    };
    server.on(server instanceof https.Server ? "secureConnection" : "connection", (socket: Socket) => {
        const unread = new Map<ServerResponse, number>();
        const limitTime = createUnreadTimer(
            socket,
            limits.readUnreadTimeoutMs ?? (() => UNREAD_TIMEOUT_MS),
            closeFor(RequestLimitAction.UnreadTimedOut),
        );
        connections.set(socket, {
            gate: createRequestGate(socket, { openRequestsMax, handleHeld: bytes => handleHeld(socket, bytes) }),
            unread,
            updateUnread: () => {
                unreadBytes.setBytes(socket, socket.destroyed ? 0 : sumBytes(unread));
                limitTime(unread.size > 0 && !socket.destroyed);
            },
        });
        socket.once("close", () => {
            unreadBytes.setBytes(socket, 0);
            limitTime(false);
        });
    });
    return {
        countActions: () => ({ ...actions }),
        countReadAheadBytes: readAhead.countBytes,
        countUnreadBytes: unreadBytes.countBytes,
    };
}

function sumBytes(unread: ReadonlyMap<ServerResponse, number>): number {
    return [...unread.values()].reduce((sum, bytes) => sum + bytes, 0);
}

/**
 * Closes a connection whose caller reads nothing of its responses for a time. Without it, callers that read nothing would
 * hold all connections of a server with few bytes.
 *
 * @returns A function that is told whether the connection has unread responses
 */
function createUnreadTimer(
    socket: Socket,
    readTimeoutMs: () => number,
    closeConnection: (socket: Socket) => void,
): (hasUnread: boolean) => void {
    let timer: NodeJS.Timeout | undefined;
    const beginWait = () => {
        const before = readProgress(socket);
        timer = setTimeout(() => {
            const { finished, unsent } = readProgress(socket);
            if (finished === before.finished && unsent === before.unsent) {
                closeConnection(socket);
            } else {
                beginWait();
            }
        }, readTimeoutMs());
    };
    return hasUnread => {
        if (!hasUnread) {
            clearTimeout(timer);
            timer = undefined;
        } else if (timer === undefined) {
            beginWait();
        }
    };
}

/** The handle of a socket, as Node's own timeouts of sockets use it; that of TLS writes to that of the connection. */
interface SocketHandle {
    readonly writeQueueSize?: number;
    readonly _parent?: SocketHandle;
}

/**
 * Reads how far the writes of a connection have come. The stream counts a write as finished once it is sent whole, and
 * only the handle of the connection tells what is left of one: that of TLS does not before the write is finished.
 */
function readProgress(socket: Socket): { readonly finished: number; readonly unsent: number } {
    const { _handle: handle } = socket as { readonly _handle?: SocketHandle };
    return {
        finished: socket.bytesWritten - socket.writableLength,
        unsent: (handle?._parent ?? handle)?.writeQueueSize ?? 0,
    };
}
