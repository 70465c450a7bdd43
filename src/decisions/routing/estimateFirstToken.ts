/**
 * @module Time to the first token.
 */
import { VmRole } from "../../model/endpoint";
import type { Candidate } from "./candidate";
import { estimateQueue } from "./estimateQueue";

/**
 * Estimates the time to the first token, or to the whole answer of an application runner, of a request sent now.
 *
 * @param candidate - The endpoint
 * @param uncachedTokens - Prompt tokens that the endpoint must prefill
 * @returns Milliseconds
 * @example
 * estimateFirstToken(candidate, 400);
 */
export function estimateFirstToken(candidate: Candidate, uncachedTokens: number): number {
    const ownMs =
        candidate.endpoint.role === VmRole.ModelRunner
            ? uncachedTokens / candidate.prefillTokensPerMs
            : candidate.durationMs;
    return candidate.networkMs + estimateQueue(candidate) + ownMs + candidate.biasMs;
}
