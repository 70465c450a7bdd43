/**
 * @module Connections to one endpoint. Each carries one request at a time.
 */
import http from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../base/clock";
import type { Disposable } from "../base/disposableStore";
import { computeElapsedMs, type Instant, readInstant } from "../base/instant";
import { DEFAULT_IDLE_TIMEOUT_MS, IDLE_CLOSE_MARGIN_MS } from "./constants";

/** Connections to one endpoint. Disposing of them closes the idle ones; those in use close after their answer. */
export interface EndpointConnections extends Disposable {
    /** Gives the agent for the next request; connections idle for longer than `maxIdleMs` are closed before. */
    prepareAgent(maxIdleMs?: number): http.Agent;
    /** Sets after how much idle time the endpoint closes a connection. */
    setIdleTimeout(idleTimeoutMs: number): void;
    /** Closes idle connections, for when one of them was found dead. */
    closeIdle(): void;
}

/**
 * Creates the connections to an endpoint. A byte that arrives on an idle connection belongs to no request: the
 * connection is closed.
 *
 * @param clock - Measures idle time
 * @returns The connections; none is open yet
 * @example
 * http.request({ host, port, agent: connections.prepareAgent() });
 */
export function createEndpointConnections(clock: Clock): EndpointConnections {
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
            return true;
        },
        endIdle: socket => void socket.off("data", closeSocket),
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
    /** Gives false if the connection isn't to be kept. */
    readonly beginIdle: (socket: Socket) => boolean;
    readonly endIdle: (socket: Socket) => void;
}

/** Node's agent, told when a connection becomes idle and when it is used again. */
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
