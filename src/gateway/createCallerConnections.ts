/**
 * @module The connections of callers: which are idle, and which hold bytes of a request that has not arrived whole.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Numbers of connections. */
export interface ConnectionCounts {
    readonly connections: number;
    /** Without an open request, and without a byte after the last one. */
    readonly idle: number;
    /** Without an open request, but with bytes of the next one's head. */
    readonly unfinished: number;
    /** Connections closed so far with bytes of a head that had not arrived whole. */
    readonly closedUnfinished: number;
}

/** The connections of callers to a server. */
export interface CallerConnections {
    /** Records that a request's head has arrived. */
    recordRequest(request: IncomingMessage, response: ServerResponse): void;
    countConnections(): ConnectionCounts;
}

interface ConnectionState {
    openRequests: number;
    /** Bytes received up to the end of the last request that has arrived whole. */
    bytesOfRequests: number;
}

/**
 * Tracks the connections of a server.
 *
 * @param server - The server; it does not listen yet
 * @returns Its connections
 * @example
 * const connections = createCallerConnections(server);
 */
export function createCallerConnections(server: Server): CallerConnections {
    const states = new Map<Socket, ConnectionState>();
    let closedUnfinished = 0;
    server.on("connection", (socket: Socket) => {
        const state: ConnectionState = { openRequests: 0, bytesOfRequests: 0 };
        states.set(socket, state);
        socket.once("close", () => {
            states.delete(socket);
            closedUnfinished += isUnfinished(socket, state) ? 1 : 0;
        });
    });
    return {
        recordRequest: (request, response) => {
            const { socket } = request;
            const state = states.get(socket);
            if (state === undefined) {
                return;
            }
            state.openRequests++;
            request.once("end", () => (state.bytesOfRequests = socket.bytesRead));
            response.once("close", () => state.openRequests--);
        },
        countConnections: () => {
            const entries = [...states];
            return {
                connections: entries.length,
                idle: entries.filter(([socket, state]) => isIdle(socket, state)).length,
                unfinished: entries.filter(([socket, state]) => isUnfinished(socket, state)).length,
                closedUnfinished,
            };
        },
    };
}

function isUnfinished({ bytesRead }: Socket, { openRequests, bytesOfRequests }: ConnectionState): boolean {
    return openRequests === 0 && bytesRead > bytesOfRequests;
}

function isIdle({ bytesRead }: Socket, { openRequests, bytesOfRequests }: ConnectionState): boolean {
    return openRequests === 0 && bytesRead === bytesOfRequests;
}
