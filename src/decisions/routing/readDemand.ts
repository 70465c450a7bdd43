/**
 * @module The current demand for a service.
 */
import { DEMAND_HALF_LIFE_MS } from "./constants";
import type { ServiceState } from "./routingState";

/**
 * Returns the expected cost of the requests that arrive at this node for a service, as an exponential average.
 *
 * @param service - The service
 * @param nowMs - Now, in monotonic milliseconds
 * @returns Tokens a second
 * @example
 * readDemand(service, nowMs);
 */
export function readDemand(service: ServiceState, nowMs: number): number {
    return service.demandTokensPerSecond * 0.5 ** ((nowMs - service.demandUpdatedAtMs) / DEMAND_HALF_LIFE_MS);
}
