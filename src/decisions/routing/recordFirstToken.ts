/**
 * @module Recording the first token of an attempt.
 */
import type { Candidate } from "./candidate";
import { BIAS_LIMIT_MS, BIAS_WEIGHT } from "./constants";

/** The estimates made for an attempt when it was sent. */
export interface SentAttempt {
    readonly prefillTokens: number;
    /** Estimated time to the first token in milliseconds, including the bias. */
    readonly estimateMs: number;
}

/**
 * Records that an attempt's first token arrived: its prefill no longer counts as queued, and the difference from the
 * estimate updates the endpoint's bias.
 *
 * @param candidate - The endpoint; changed in place
 * @param sent - The estimates made when it was sent
 * @param elapsedMs - Milliseconds since the attempt was sent
 * @example
 * recordFirstToken(candidate, { prefillTokens: 380, estimateMs: 90 }, 112);
 */
export function recordFirstToken(candidate: Candidate, sent: SentAttempt, elapsedMs: number): void {
    candidate.ownPrefillTokens = Math.max(0, candidate.ownPrefillTokens - sent.prefillTokens);
    const bias = candidate.biasMs + BIAS_WEIGHT * (elapsedMs - sent.estimateMs);
    candidate.biasMs = Math.min(BIAS_LIMIT_MS, Math.max(-candidate.networkMs / 2, bias));
}
