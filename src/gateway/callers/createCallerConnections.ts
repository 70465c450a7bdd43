/**
 * @module The connections of callers: which are idle, and which hold bytes of a request that has not arrived whole.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../base/clock";
import { QUIET_MS } from "../../http/createIdleConnections";
import { createRequestTracker, type RequestTracker } from "../../http/createRequestTracker";
import { endConnection, ROOM_LINGER_MS } from "../../http/endConnection";

/** Numbers of connections. */
export interface ConnectionCounts {
    readonly connections: number;
    /** Without an open request, and without a byte of the next one. */
    readonly idle: number;
    /** Without an open request, but with bytes of the next one's head. */
    readonly unfinished: number;
    /** Connections that callers closed so far with bytes of a head that had not arrived whole. */
    readonly closedUnfinished: number;
}

/** The connections of callers to a server. */
export interface CallerConnections {
    /**
     * Records that a request's head has arrived, and waits for the end of the answer before it on its connection. Gives
     * false if that answer closed the connection: then the request must not be handled.
     */
    waitForTurn(request: IncomingMessage, response: ServerResponse): Promise<boolean>;
    /** Closes a connection half first, after an answer if there is one; a request that arrives then isn't handled. */
    closeConnection(socket: Socket, lastAnswer?: string): void;
    /** Closes the idle connections. */
    closeIdle(): void;
    /** Writes an answer to each connection that has received a part of a head, and closes it. */
    answerUnfinished(answer: string): void;
    countConnections(): ConnectionCounts;
}

/** After its last answer a connection is read for at most this long, until the caller closes it too. */
const LINGER_MS = 300;

interface ConnectionState {
    readonly requests: RequestTracker;
    /** Monotonic time at which the connection was opened, or its last request ended. */
    quietSinceMs: number;
    /** True once the last answer was sent: what arrives later is dropped. */
    isClosing: boolean;
    /** Response of the last request. */
    lastResponse: ServerResponse | undefined;
}

/**
 * Tracks the connections of a server. `destroySoon`, by which Node closes a connection after its last answer, is
 * replaced: a connection that is closed with unread bytes is reset, and the caller may lose the answer.
 *
 * @param server - The server; it does not listen yet
 * @param clock - Measures idle time
 * @returns Its connections
 * @example
 * const connections = createCallerConnections(server, clock);
 */
export function createCallerConnections(server: Server, clock: Clock): CallerConnections {
    const states = new Map<Socket, ConnectionState>();
    let closedUnfinished = 0;
    const closeGently = (socket: Socket, state: ConnectionState, lastAnswer?: string, lingerMs = LINGER_MS) => {
        if (state.isClosing) {
            return;
        }
        state.isClosing = true;
        endConnection(socket, lastAnswer ?? "", lingerMs);
    };
    server.on("connection", (socket: Socket) => {
        const state: ConnectionState = {
            requests: createRequestTracker(socket),
            quietSinceMs: clock.readMonotonicMs(),
            isClosing: false,
            lastResponse: undefined,
        };
        states.set(socket, state);
        socket.setMaxListeners(0);
        socket.destroySoon = () => closeGently(socket, state);
        socket.once("close", () => {
            states.delete(socket);
            closedUnfinished += isUnfinished(state) ? 1 : 0;
        });
    });
    return {
        closeConnection: (socket, lastAnswer) => {
            const state = states.get(socket);
            if (state !== undefined) {
                closeGently(socket, state, lastAnswer, ROOM_LINGER_MS);
            }
        },
        closeIdle: () => {
            const nowMs = clock.readMonotonicMs();
            [...states]
                .filter(([, state]) => isIdle(state) && nowMs - state.quietSinceMs >= QUIET_MS)
                .forEach(([socket, state]) => closeGently(socket, state));
        },
        answerUnfinished: answer =>
            [...states]
                .filter(([, state]) => isUnfinished(state))
                .forEach(([socket, state]) => closeGently(socket, state, answer)),
        waitForTurn: async (request, response) => {
            const { socket } = request;
            const state = states.get(socket);
            if (state === undefined) {
                return false;
            }
            const previous = state.requests.hasOpenRequests() ? state.lastResponse : undefined;
            state.requests.beginRequest(request);
            state.lastResponse = response;
            response.once("close", () => {
                state.requests.endRequest();
                state.quietSinceMs = clock.readMonotonicMs();
            });
            if (previous !== undefined) {
                // A response that waits behind one that closes the connection is never closed itself.
                await new Promise<void>(resolve => {
                    socket.once("close", resolve);
                    previous.once("close", () => {
                        socket.off("close", resolve);
                        resolve();
                    });
                });
            }
            return socket.writable && !state.isClosing;
        },
        countConnections: () => {
            const all = [...states.values()];
            return {
                connections: all.length,
                idle: all.filter(isIdle).length,
                unfinished: all.filter(isUnfinished).length,
                closedUnfinished,
            };
        },
    };
}

function isUnfinished({ requests, isClosing }: ConnectionState): boolean {
    return !requests.hasOpenRequests() && !isClosing && requests.countUnfinishedBytes() > 0;
}

function isIdle({ requests }: ConnectionState): boolean {
    return !requests.hasOpenRequests() && requests.countUnfinishedBytes() === 0;
}
