/**
 * @module Recording the end of an attempt at its endpoint.
 */
import type { Candidate } from "./candidate";
import { DURATION_WEIGHT } from "./constants";

/**
 * Removes an attempt from the counts of its endpoint and, if it finished, updates the mean duration.
 *
 * @param candidate - The endpoint; changed in place
 * @param ended - `prefillTokens` that are still counted (0 after the first token), and `durationMs` if the attempt
 *     finished
 * @example
 * recordAttemptEnded(candidate, { prefillTokens: 0, durationMs: 4_200 });
 */
export function recordAttemptEnded(
    candidate: Candidate,
    ended: { readonly prefillTokens: number; readonly durationMs?: number },
): void {
    candidate.ownInFlight = Math.max(0, candidate.ownInFlight - 1);
    candidate.ownPrefillTokens = candidate.ownInFlight === 0 ? 0 : candidate.ownPrefillTokens - ended.prefillTokens;
    if (ended.durationMs !== undefined) {
        candidate.durationMs += DURATION_WEIGHT * (ended.durationMs - candidate.durationMs);
    }
}
