/**
 * @module The pool of connections to one endpoint. Each connection carries one request at a time.
 */
import http from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../../base/clock";
import type { Disposable } from "../../base/disposableStore";
import { computeElapsedMs, type Instant, readInstant } from "../../base/instant";
import { DEFAULT_IDLE_TIMEOUT_MS, IDLE_CLOSE_MARGIN_MS } from "../constants";

/** Connections to one endpoint. Disposal closes the idle ones at once, and those in use after their answer. */
export interface EndpointConnections extends Disposable {
    /** Closes connections that were idle for longer than `maxIdleMs`, and gives the agent for the next request. */
    prepareAgent(maxIdleMs?: number): http.Agent;
    /** Sets the idle time after which the endpoint closes a connection; ours is closed a margin earlier. */
    setIdleTimeout(idleTimeoutMs: number): void;
    /** Closes all idle connections, for when a connection to this endpoint has failed. */
    closeIdle(): void;
}

/**
 * Creates the pool. A connection on which data arrives while it is idle is closed, since the data belongs to no
 * request.
 *
 * @param clock - Measures idle time
 * @param handleIdleEnd - Called when the endpoint ends or resets an idle connection
 * @returns The pool, without open connections
 * @example
 * http.request({ host, port, agent: connections.prepareAgent() });
 */
export function createEndpointConnections(
    clock: Clock,
    handleIdleEnd: () => void = () => undefined,
): EndpointConnections {
    const idleSince = new WeakMap<Socket, Instant>();
    let idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS;
    const closeSocket = function (this: Socket) {
        this.destroy();
    };
    let isDisposed = false;
    const agent = new IdleTrackingAgent({
        beginIdle: socket => {
            if (isDisposed) {
                return false;
            }
            idleSince.set(socket, readInstant(clock));
            socket.setTimeout(idleTimeoutMs);
            socket.on("data", closeSocket);
            socket.on("end", handleIdleEnd);
            socket.on("error", handleIdleEnd);
            return true;
        },
        endIdle: socket => void socket.off("data", closeSocket).off("end", handleIdleEnd).off("error", handleIdleEnd),
    });
    const listIdle = () => Object.values(agent.freeSockets).flatMap(sockets => sockets ?? []);
    const closeIdle = () => listIdle().forEach(socket => socket.destroy());
    return {
        prepareAgent: (maxIdleMs = idleTimeoutMs) => {
            const now = readInstant(clock);
            const limitMs = Math.min(maxIdleMs, idleTimeoutMs);
            for (const socket of listIdle()) {
                const since = idleSince.get(socket);
                if (since === undefined || computeElapsedMs(since, now) > limitMs) {
                    socket.destroy();
                }
            }
            return agent;
        },
        setIdleTimeout: endpointMs => {
            idleTimeoutMs = Math.max(endpointMs / 2, endpointMs - IDLE_CLOSE_MARGIN_MS);
        },
        closeIdle,
        dispose: () => {
            isDisposed = true;
            closeIdle();
        },
    };
}

interface IdleHandlers {
    /** Called when a connection becomes idle; false closes it. */
    readonly beginIdle: (socket: Socket) => boolean;
    /** Called when an idle connection is used again. */
    readonly endIdle: (socket: Socket) => void;
}

/** An HTTP agent that reports when a connection becomes idle and when it is used again. */
class IdleTrackingAgent extends http.Agent {
    private readonly idleHandlers: IdleHandlers;

    public constructor(idleHandlers: IdleHandlers) {
        super({ keepAlive: true, maxFreeSockets: 64, scheduling: "lifo" });
        this.idleHandlers = idleHandlers;
    }

    public override keepSocketAlive(socket: Socket): boolean {
        socket.setKeepAlive(true, 1_000);
        return this.idleHandlers.beginIdle(socket);
    }

    public override reuseSocket(socket: Socket, request: http.ClientRequest): void {
        this.idleHandlers.endIdle(socket);
        socket.setTimeout(0);
        super.reuseSocket(socket, request);
    }
}
