/**
 * @module The price of meeting a target.
 */
import { VmRole } from "../../model/endpoint";
import type { Candidate } from "./candidate";

/**
 * Finds the lowest cost among the endpoints that meet a target when idle.
 *
 * @param candidates - The endpoints of the service that this node uses
 * @param promptTokens - Prompt of the request
 * @param targetMs - Time to the first token, or to the whole answer of an application runner
 * @returns Millionths per 1,000 tokens (per call), or `undefined` if no endpoint meets the target
 * @example
 * findCostAtTarget(candidates, 400, 1_200);
 */
export function findCostAtTarget(
    candidates: readonly Candidate[],
    promptTokens: number,
    targetMs: number,
): number | undefined {
    let cheapest: number | undefined;
    for (const candidate of candidates) {
        const isModelRunner = candidate.endpoint.role === VmRole.ModelRunner;
        const idleMs = isModelRunner ? promptTokens / candidate.prefillTokensPerMs : candidate.durationMs;
        if (!candidate.isLeaving && candidate.networkMs + idleMs <= targetMs) {
            cheapest = Math.min(cheapest ?? Infinity, candidate.costMicros);
        }
    }
    return cheapest;
}
