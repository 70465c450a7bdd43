/**
 * @module Reading the demand for a service.
 */
import { DEMAND_HALF_LIFE_MS } from "./constants";
import type { ServiceState } from "./routingState";

/**
 * Reads the tokens of cost a second that arrive at this node for a service, recent ones counting most.
 *
 * @param service - The service
 * @param nowMs - Now, in monotonic milliseconds
 * @returns Tokens a second
 * @example
 * readDemand(service, nowMs);
 */
export function readDemand(service: ServiceState, nowMs: number): number {
    return service.demandTokensPerSecond * 0.5 ** ((nowMs - service.demandAtMs) / DEMAND_HALF_LIFE_MS);
}
