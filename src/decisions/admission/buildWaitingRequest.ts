/**
 * @module What a request means for its pool.
 */
import type { WorkClass } from "../../model/configuration";
import type { RequestContext } from "../../model/request";
import type { ServiceCapacity } from "../routing/serviceCapacity";
import type { AdmissionPool, WaitingRequest } from "./admissionPool";
import { MARGIN_SHARE_LIMIT } from "./constants";
import { estimateCost } from "./estimateCost";

/** A request and its size. */
export interface ArrivingRequest {
    readonly context: RequestContext;
    readonly promptTokens: number;
    readonly maximumTokens: number;
}

/**
 * Builds what a pool keeps of an arriving request. It must start early enough for the best endpoint to give the first
 * token in time, with a margin for the error that estimates have had lately.
 *
 * @param pool - The pool, whose history tells the cost
 * @param arriving - The request
 * @param workClass - Its class
 * @param capacity - What routing sees
 * @returns The request as the pool keeps it
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
    const marginMs = Math.min(capacity.estimateErrorMs, MARGIN_SHARE_LIMIT * workClass.latencyTargetMs);
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
