/**
 * @module Connections to one endpoint. Each carries one request at a time.
 */
import http from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../base/clock";
import type { Disposable } from "../base/disposableStore";
import { computeElapsedMs, type Instant, readInstant } from "../base/instant";
import { IDLE_DEFAULT_MS, IDLE_MARGIN_MS } from "./constants";

/** Connections to one endpoint. Disposing of them closes the idle ones; those in use close after their answer. */
export interface EndpointConnections extends Disposable {
    /** Gives the agent for the next request; connections idle for longer than `freshMs` are closed before. */
    prepareAgent(freshMs?: number): http.Agent;
    /** Sets after how much idle time the endpoint closes a connection. */
    setIdleTimeout(idleTimeoutMs: number): void;
    /** Closes idle connections, for when one of them was found dead. */
    dropIdle(): void;
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
    let idleTimeoutMs = IDLE_DEFAULT_MS;
    const dropSocket = function (this: Socket) {
        this.destroy();
    };
    let isDisposed = false;
    const agent = new GuardedAgent({
        beginIdle: socket => {
            if (isDisposed) {
                return false;
            }
            idleSince.set(socket, readInstant(clock));
            socket.setTimeout(idleTimeoutMs);
            socket.on("data", dropSocket);
            return true;
        },
        endIdle: socket => void socket.off("data", dropSocket),
    });
    const listIdle = () => Object.values(agent.freeSockets).flatMap(sockets => sockets ?? []);
    const dropIdle = () => listIdle().forEach(socket => socket.destroy());
    return {
        prepareAgent: (freshMs = idleTimeoutMs) => {
            const now = readInstant(clock);
            const limitMs = Math.min(freshMs, idleTimeoutMs);
            for (const socket of listIdle()) {
                const since = idleSince.get(socket);
                if (since === undefined || computeElapsedMs(since, now) > limitMs) {
                    socket.destroy();
                }
            }
            return agent;
        },
        setIdleTimeout: endpointMs => {
            idleTimeoutMs = Math.max(endpointMs / 2, endpointMs - IDLE_MARGIN_MS);
        },
        dropIdle,
        dispose: () => {
            isDisposed = true;
            dropIdle();
        },
    };
}

interface IdleGuard {
    /** Gives false if the connection isn't to be kept. */
    readonly beginIdle: (socket: Socket) => boolean;
    readonly endIdle: (socket: Socket) => void;
}

/** Node's agent, told when a connection becomes idle and when it is used again. */
class GuardedAgent extends http.Agent {
    private readonly guard: IdleGuard;

    public constructor(guard: IdleGuard) {
        super({ keepAlive: true, maxFreeSockets: 64, scheduling: "lifo" });
        this.guard = guard;
    }

    public override keepSocketAlive(socket: Socket): boolean {
        socket.setKeepAlive(true, 1_000);
        return this.guard.beginIdle(socket);
    }

    public override reuseSocket(socket: Socket, request: http.ClientRequest): void {
        this.guard.endIdle(socket);
        socket.setTimeout(0);
        super.reuseSocket(socket, request);
    }
}
