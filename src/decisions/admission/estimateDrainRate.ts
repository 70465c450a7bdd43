/**
 * @module How fast a node starts work.
 */
import type { ServiceCapacity } from "../routing/serviceCapacity";
import type { AdmissionPool, WaitingRequest } from "./admissionPool";

/**
 * Estimates the tokens of cost that this node can start in a millisecond: by Little's law the slots it can use,
 * times the mean cost of a request, over the mean time a request takes. Before any request has finished, the time is
 * taken from the endpoints' speeds.
 *
 * @param pool - The pool
 * @param capacity - What routing sees
 * @param request - The arriving request, for a pool without history
 * @returns Tokens a millisecond
 * @example
 * estimateDrainRate(pool, capacity, request);
 */
export function estimateDrainRate(pool: AdmissionPool, capacity: ServiceCapacity, request: WaitingRequest): number {
    const slots = Math.max(1, pool.admitted.size + capacity.freeSlots);
    const meanCost = pool.meanCostTokens ?? request.costTokens;
    const meanDurationMs =
        pool.meanDurationMs ?? capacity.bestFirstTokenMs + request.outputTokens * capacity.tokenGapMs;
    return (slots * meanCost) / Math.max(1, meanDurationMs);
}
