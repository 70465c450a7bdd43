/**
 * @module Recording the start of an attempt at its endpoint.
 */
import type { Candidate } from "./candidate";

/**
 * Adds an attempt to the counts of its endpoint.
 *
 * @param candidate - The endpoint; changed in place
 * @param prefillTokens - Prompt tokens that the endpoint must prefill
 * @example
 * recordAttemptSent(candidate, 380);
 */
export function recordAttemptSent(candidate: Candidate, prefillTokens: number): void {
    candidate.ownInFlight++;
    candidate.ownPrefillTokens += prefillTokens;
}
