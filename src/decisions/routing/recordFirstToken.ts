/**
 * @module Learning from a first token.
 */
import type { Candidate } from "./candidate";
import { BIAS_LIMIT_MS, BIAS_WEIGHT } from "./constants";

/** What was expected of an attempt when it was sent. */
export interface SentAttempt {
    readonly prefillTokens: number;
    /** Estimate in milliseconds, the bias included. */
    readonly estimateMs: number;
}

/**
 * Records that an attempt's first token arrived: its prefill is done, and the difference to the estimate is learned.
 *
 * @param candidate - The endpoint; changed in place
 * @param sent - What was expected
 * @param elapsedMs - Milliseconds since the attempt was sent
 * @example
 * recordFirstToken(candidate, { prefillTokens: 380, estimateMs: 90 }, 112);
 */
export function recordFirstToken(candidate: Candidate, sent: SentAttempt, elapsedMs: number): void {
    candidate.ownPrefillTokens = Math.max(0, candidate.ownPrefillTokens - sent.prefillTokens);
    const bias = candidate.biasMs + BIAS_WEIGHT * (elapsedMs - sent.estimateMs);
    candidate.biasMs = Math.min(BIAS_LIMIT_MS, Math.max(-candidate.networkMs / 2, bias));
}
