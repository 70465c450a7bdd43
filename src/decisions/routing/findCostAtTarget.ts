/**
 * @module The lowest cost of meeting a latency target.
 */
import { VmRole } from "../../model/endpoint";
import type { Candidate } from "./candidate";

/**
 * Finds the lowest cost among the endpoints that meet a latency target when idle.
 *
 * @param candidates - The endpoints of the service that this node uses
 * @param promptTokens - Prompt tokens of the request
 * @param targetMs - Target for the time to the first token, or to the complete response of an application runner
 * @returns Millionths of the currency per 1,000 tokens (per call for application runners), or `undefined` if no
 *     endpoint meets the target
 * @example
 * findCostAtTarget(candidates, 400, 1_200);
 */
export function findCostAtTarget(
    candidates: readonly Candidate[],
    promptTokens: number,
    targetMs: number,
): number | undefined {
    let lowestMicros: number | undefined;
    for (const candidate of candidates) {
        const isModelRunner = candidate.endpoint.role === VmRole.ModelRunner;
        const idleMs = isModelRunner ? promptTokens / candidate.prefillTokensPerMs : candidate.durationMs;
        if (!candidate.isLeaving && candidate.networkMs + idleMs <= targetMs) {
            lowestMicros = Math.min(lowestMicros ?? Infinity, candidate.costMicros);
        }
    }
    return lowestMicros;
}
