/**
 * @module Endpoints for tests.
 */
import type { GatewayEndpoint } from "../../model/gateway";

/**
 * Makes a serving endpoint of the service `chat`.
 *
 * @param id - Its id
 * @param changes - Properties to override
 * @returns The endpoint
 * @example
 * makeEndpoint("i-1", { isDraining: true });
 */
export function makeEndpoint(id: string, changes: Partial<GatewayEndpoint> = {}): GatewayEndpoint {
    return {
        id,
        service: "chat",
        target: { address: "127.0.0.1", port: 1 },
        failureDomain: "hobart-1",
        version: "v1",
        slots: 4,
        isDraining: false,
        isReclaimable: false,
        loadedModels: undefined,
        coldForMs: 0,
        startedAtMs: undefined,
        ...changes,
    };
}
