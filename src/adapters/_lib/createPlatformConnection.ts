/**
 * @module The connection of an adapter to the platform.
 */
import type { CallTimeouts } from "./sendHttpCall";
import type { PlatformConnection } from "./sendPlatformCall";
import { createConnectionPool } from "./createConnectionPool";
import type { HttpTarget } from "./httpTarget";

/** Where the platform is. */
export interface PlatformAdapterOptions extends HttpTarget {
    readonly timeouts?: CallTimeouts;
    /** Most connections open to the platform at once. */
    readonly connectionsPerHost?: number;
}

/**
 * Creates the connection of an adapter to the platform.
 *
 * @param options - Address, port and bounds
 * @returns The connection; its pool is disposed by the adapter
 * @example
 * createPlatformConnection({ address: "127.0.0.1", port: 7000 });
 */
export function createPlatformConnection(options: PlatformAdapterOptions): PlatformConnection {
    return {
        target: { address: options.address, port: options.port, isTls: options.isTls },
        pool: createConnectionPool({ connectionsPerHost: options.connectionsPerHost, isTls: options.isTls }),
        timeouts: options.timeouts,
    };
}
