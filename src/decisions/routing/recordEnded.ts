/**
 * @module Ending an attempt at its endpoint.
 */
import type { Candidate } from "./candidate";
import { DURATION_WEIGHT } from "./constants";

/**
 * Takes an attempt out of the counts.
 *
 * @param candidate - The endpoint; changed in place
 * @param ended - `prefillTokens` still counted (0 after the first token), and `durationMs` if the attempt finished
 * @example
 * recordEnded(candidate, { prefillTokens: 0, durationMs: 4_200 });
 */
export function recordEnded(
    candidate: Candidate,
    ended: { readonly prefillTokens: number; readonly durationMs?: number },
): void {
    candidate.ownInFlight = Math.max(0, candidate.ownInFlight - 1);
    candidate.ownPrefillTokens = candidate.ownInFlight === 0 ? 0 : candidate.ownPrefillTokens - ended.prefillTokens;
    if (ended.durationMs !== undefined) {
        candidate.durationMs += DURATION_WEIGHT * (ended.durationMs - candidate.durationMs);
    }
}
