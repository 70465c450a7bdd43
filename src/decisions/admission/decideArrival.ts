/**
 * @module Deciding whether an arriving request may wait.
 */
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import { hashText } from "../../base/hashText";
import type { ServiceCapacity } from "../routing/serviceCapacity";
import type { AdmissionPool, WaitingRequest } from "./admissionPool";
import {
    LONGEST_RETRY_HINT_MS,
    NO_ENDPOINT_RETRY_HINT_MS,
    RETRY_HINT_SPREAD_SHARE,
    SHORTEST_RETRY_HINT_MS,
    WAITING_LIMIT,
} from "./constants";
import { estimateDrainRate } from "./estimateDrainRate";
import { estimateWait } from "./estimateWait";

/**
 * Decides whether a request may wait or is refused immediately because its latency target can't be met. No part of a
 * refused request has been executed.
 *
 * @param pool - The pool
 * @param request - The arriving request
 * @param capacity - The capacity of the service, with the lowest cost among the endpoints that meet the target
 * @param nowMs - Now, in monotonic milliseconds
 * @returns `undefined` if it may wait, else the refusal: `TargetUnreachable` or `CostCeilingExceeded` without a retry
 *     hint, since waiting wouldn't help, or `Overloaded` with one
 * @example
 * const refusal = decideArrival(pool, request, { ...capacity, costAtTargetMicros }, nowMs);
 */
export function decideArrival(
    pool: AdmissionPool,
    request: WaitingRequest,
    capacity: ServiceCapacity & { readonly costAtTargetMicros: number | undefined },
    nowMs: number,
): Failure | undefined {
    if (capacity.liveEndpoints === 0) {
        return createRefusal(request, "No endpoint of this service is live.", NO_ENDPOINT_RETRY_HINT_MS);
    }
    if (capacity.costAtTargetMicros === undefined) {
        return createFailure(FailureKind.TargetUnreachable, "No endpoint meets the latency target, even when idle.");
    }
    if (capacity.costAtTargetMicros > request.costCeilingMicros) {
        const details = { cheapestMicros: capacity.costAtTargetMicros, ceilingMicros: request.costCeilingMicros };
        const message = "The cheapest endpoint that meets the target costs more than the class allows.";
        return createFailure(FailureKind.CostCeilingExceeded, message, { details });
    }
    if (pool.queued.size >= WAITING_LIMIT) {
        return createRefusal(request, "Too many requests are waiting on this node.", NO_ENDPOINT_RETRY_HINT_MS);
    }
    const waitMs = estimateWait(pool, request, estimateDrainRate(pool, capacity, request));
    const shortfallMs = waitMs - (request.latestStartAtMs - nowMs);
    return shortfallMs > 0
        ? createRefusal(request, "The latency target can't be met with the requests already waiting.", shortfallMs)
        : undefined;
}

function createRefusal(request: WaitingRequest, message: string, waitMs: number): Failure {
    const spreadFactor = 1 + (RETRY_HINT_SPREAD_SHARE * hashText(request.requestId)) / 2 ** 32;
    const hintMs = Math.min(LONGEST_RETRY_HINT_MS, Math.max(SHORTEST_RETRY_HINT_MS, waitMs * spreadFactor));
    return createFailure(FailureKind.Overloaded, message, { retryAfterMs: Math.ceil(hintMs) });
}
