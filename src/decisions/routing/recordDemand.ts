/**
 * @module Recording the demand for a service.
 */
import { DEMAND_HALF_LIFE_MS } from "./constants";
import { readDemand } from "./readDemand";
import type { ServiceState } from "./routingState";

/**
 * Counts an arriving request, whether or not it will be admitted.
 *
 * @param service - The service; changed in place
 * @param costTokens - Its expected cost in tokens
 * @param nowMs - Now, in monotonic milliseconds
 * @example
 * recordDemand(service, 540, nowMs);
 */
export function recordDemand(service: ServiceState, costTokens: number, nowMs: number): void {
    const perSecond = (costTokens * 1_000 * Math.LN2) / DEMAND_HALF_LIFE_MS;
    service.demandTokensPerSecond = readDemand(service, nowMs) + perSecond;
    service.demandUpdatedAtMs = nowMs;
}
