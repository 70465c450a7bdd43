/**
 * @module Estimating the time to the first token.
 */
import { VmRole } from "../../model/endpoint";
import type { Candidate } from "./candidate";
import { estimateQueueDelay } from "./estimateQueueDelay";

/**
 * Estimates the time from sending a request now to its first token, or to the complete response of an application
 * runner.
 *
 * @param candidate - The endpoint
 * @param uncachedTokens - Prompt tokens that the endpoint must prefill
 * @returns Milliseconds
 * @example
 * estimateTimeToFirstToken(candidate, 400);
 */
export function estimateTimeToFirstToken(candidate: Candidate, uncachedTokens: number): number {
    const ownMs =
        candidate.endpoint.role === VmRole.ModelRunner
            ? uncachedTokens / candidate.prefillTokensPerMs
            : candidate.durationMs;
    return candidate.networkMs + estimateQueueDelay(candidate) + ownMs + candidate.biasMs;
}
