/**
 * @module Load reports of endpoints.
 */
import type { Result } from "neverthrow";
import { z } from "zod";
import type { Failure } from "../../base/failure";
import type { Endpoint, EndpointLoad } from "../../model/endpoint";
import { requestEndpointJson } from "./requestEndpointJson";
import type { CallTimeouts } from "./sendHttpCall";
import type { ConnectionPool } from "./createConnectionPool";

const loadSchema = z.object({
    running: z.number(),
    waiting: z.number(),
    pendingPrefillTokens: z.number(),
    cacheUse: z.number(),
    prefillTokensPerSecond: z.number(),
    tokenGapMs: z.number(),
    ageMs: z.number(),
});

/**
 * Reads the load that an endpoint reports.
 *
 * @param endpoint - The endpoint
 * @param pool - Kept connections
 * @param timeouts - Bounds of the waits
 * @returns The load; its `ageMs` is the endpoint's own statement, the time of the call not included
 * @example
 * const load = await readEndpointLoad(endpoint, pool);
 */
export async function readEndpointLoad(
    endpoint: Endpoint,
    pool: ConnectionPool,
    timeouts?: CallTimeouts,
): Promise<Result<EndpointLoad, Failure>> {
    const call = { method: "GET", path: "/redwinglift/load", timeouts };
    const load = await requestEndpointJson(endpoint, call, loadSchema, pool);
    return load.map(value => ({ endpointId: endpoint.endpointId, ...value }));
}
