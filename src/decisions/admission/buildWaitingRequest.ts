/**
 * @module Building the queue entry of an arriving request.
 */
import type { WorkClass } from "../../model/configuration";
import type { RequestContext } from "../../model/request";
import type { ServiceCapacity } from "../routing/serviceCapacity";
import type { AdmissionPool, WaitingRequest } from "./admissionPool";
import { ERROR_MARGIN_SHARE_LIMIT } from "./constants";
import { estimateCost } from "./estimateCost";

/** An arriving request and its size. */
export interface ArrivingRequest {
    readonly context: RequestContext;
    readonly promptTokens: number;
    readonly maximumTokens: number;
}

/**
 * Builds the queue entry of an arriving request. Its latest start leaves enough time for the best endpoint to return
 * the first token within the latency target, with a margin for the recent error of the estimates.
 *
 * @param pool - The pool, whose history is used to estimate the cost
 * @param arriving - The request
 * @param workClass - Its class
 * @param capacity - The capacity of the service
 * @returns The queue entry
 * @example
 * queueRequest(pool, buildWaitingRequest(pool, arriving, workClass, capacity));
 */
export function buildWaitingRequest(
    pool: AdmissionPool,
    arriving: ArrivingRequest,
    workClass: WorkClass,
    capacity: ServiceCapacity,
): WaitingRequest {
    const { context, promptTokens, maximumTokens } = arriving;
    const prefillMs = (promptTokens * 1_000) / Math.max(1, capacity.prefillTokensPerSecond);
    const marginMs = Math.min(capacity.estimateErrorMs, ERROR_MARGIN_SHARE_LIMIT * workClass.latencyTargetMs);
    const sizeTokens = promptTokens + maximumTokens;
    const costTokens = estimateCost(pool, { className: context.className, promptTokens, maximumTokens });
    return {
        requestId: context.requestId,
        accountName: context.accountName,
        className: context.className,
        costTokens,
        sizeTokens,
        outputTokens: (costTokens * maximumTokens) / Math.max(1, sizeTokens),
        latestStartAtMs: context.firstTokenDueAtMs - capacity.bestFirstTokenMs - prefillMs - marginMs,
        costCeilingMicros: workClass.costCeilingMicros,
        latencyTargetMs: workClass.latencyTargetMs,
    };
}
