/**
 * @module The queue inside an endpoint.
 */
import type { Candidate } from "./candidate";

/**
 * Estimates how long a request sent now waits inside an endpoint before its own prefill begins: for the prefill of
 * those before it and, when all slots are taken, for slots to come free.
 *
 * @param candidate - The endpoint
 * @returns Milliseconds
 * @example
 * estimateQueue(candidate);
 */
export function estimateQueue(candidate: Candidate): number {
    const prefillMs = (candidate.othersPrefillTokens + candidate.ownPrefillTokens) / candidate.prefillTokensPerMs;
    const excess = candidate.othersInFlight + candidate.ownInFlight + 1 - candidate.slots;
    return excess > 0 ? prefillMs + (excess * candidate.durationMs) / candidate.slots : prefillMs;
}
