/**
 * @module Connections of an adapter. HTTP/1.1 carries one request at a time on each, so none shares its fate with two.
 */
import http from "node:http";
import https from "node:https";
import type { Disposable } from "../../base/disposableStore";
import { CONNECTIONS_PER_HOST, IDLE_CONNECTION_MS, IDLE_CONNECTIONS_PER_HOST } from "../constants";
import type { HttpTarget } from "./httpTarget";

/** Kept connections of an adapter. */
export interface ConnectionPool extends Disposable {
    readonly agent: http.Agent;
    /** Closes idle connections to a target, for when one of them was found dead. */
    dropIdleConnections(target: HttpTarget): void;
}

/**
 * Creates a pool.
 *
 * @param options - `connectionsPerHost`: cap on open connections to one address and port; `idleMs`: age at which an
 * idle one is closed; `isTls`: connections by TLS
 * @returns The pool, empty
 * @example
 * const pool = createConnectionPool();
 */
export function createConnectionPool(
    options: { readonly connectionsPerHost?: number; readonly idleMs?: number; readonly isTls?: boolean } = {},
): ConnectionPool {
    const Agent = options.isTls === true ? https.Agent : http.Agent;
    const agent = new Agent({
        keepAlive: true,
        maxSockets: options.connectionsPerHost ?? CONNECTIONS_PER_HOST,
        maxFreeSockets: IDLE_CONNECTIONS_PER_HOST,
        scheduling: "lifo",
        timeout: options.idleMs ?? IDLE_CONNECTION_MS,
    });
    return {
        agent,
        dropIdleConnections: target => {
            // Node names kept connections by address, port and, for TLS, the details of the TLS settings.
            const prefix = `${target.address}:${target.port}:`;
            Object.entries(agent.freeSockets)
                .filter(([name]) => name.startsWith(prefix))
                .forEach(([, sockets]) => [...(sockets ?? [])].forEach(socket => socket.destroy()));
        },
        dispose: () => agent.destroy(),
    };
}
