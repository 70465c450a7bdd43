/**
 * @module Counting an attempt against its endpoint.
 */
import type { Candidate } from "./candidate";

/**
 * Counts a new attempt.
 *
 * @param candidate - Where it was sent; changed in place
 * @param prefillTokens - Prompt tokens that the endpoint must prefill
 * @example
 * recordSent(candidate, 380);
 */
export function recordSent(candidate: Candidate, prefillTokens: number): void {
    candidate.ownInFlight++;
    candidate.ownPrefillTokens += prefillTokens;
}
