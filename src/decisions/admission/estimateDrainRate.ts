/**
 * @module Estimating how fast a node works off its queue.
 */
import type { ServiceCapacity } from "../routing/serviceCapacity";
import type { AdmissionPool, WaitingRequest } from "./admissionPool";

/**
 * Estimates the cost in tokens of the requests that this node can start per millisecond. By Little's law this is the
 * number of slots that it can use, times the mean cost of a request, divided by the mean duration of a request. Before
 * any request has finished, the duration is estimated from the speed of the endpoints.
 *
 * @param pool - The pool
 * @param capacity - The capacity of the service
 * @param request - The arriving request, whose estimates are used if the pool has no history
 * @returns Tokens per millisecond
 * @example
 * estimateDrainRate(pool, capacity, request);
 */
export function estimateDrainRate(pool: AdmissionPool, capacity: ServiceCapacity, request: WaitingRequest): number {
    const slots = Math.max(1, pool.admitted.size + capacity.freeSlots);
    const meanCostTokens = pool.meanCostTokens ?? request.costTokens;
    const meanDurationMs =
        pool.meanDurationMs ?? capacity.bestFirstTokenMs + request.outputTokens * capacity.tokenGapMs;
    return (slots * meanCostTokens) / Math.max(1, meanDurationMs);
}
