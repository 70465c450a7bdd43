/**
 * @module Estimating the queueing delay inside an endpoint.
 */
import type { Candidate } from "./candidate";

/**
 * Estimates how long a request sent now waits inside an endpoint before its own prefill begins: for the prefill of the
 * requests ahead of it and, if all slots are in use, for a slot to become free.
 *
 * @param candidate - The endpoint
 * @returns Milliseconds
 * @example
 * estimateQueueDelay(candidate);
 */
export function estimateQueueDelay(candidate: Candidate): number {
    const prefillMs = (candidate.othersPrefillTokens + candidate.ownPrefillTokens) / candidate.prefillTokensPerMs;
    const excess = candidate.othersInFlight + candidate.ownInFlight + 1 - candidate.slots;
    return excess > 0 ? prefillMs + (excess * candidate.durationMs) / candidate.slots : prefillMs;
}
