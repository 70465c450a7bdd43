/**
 * @module Decides when to hedge: to send a second attempt in parallel with one whose first token is late.
 */
import { MINIMUM_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR } from "./constants";

/** An attempt that has produced no token yet. */
export interface WaitingAttempt {
    readonly isIdempotent: boolean;
    /** Whether a hedge was already sent. */
    readonly hasHedge: boolean;
    /** Monotonic milliseconds at which the attempt was sent. */
    readonly sentAtMs: number;
    readonly estimatedFirstTokenMs: number;
    /** Monotonic milliseconds at which the latency target of the first token ends. */
    readonly firstTokenDueAtMs: number;
}

/**
 * Decides when to hedge: once the first token takes a multiple of its estimate, provided that a second attempt can
 * still meet the latency target.
 *
 * @param attempt - The attempt whose first token is awaited
 * @returns Monotonic milliseconds at which to send the hedge, or `undefined` if none is sent
 * @example
 * const hedgeAtMs = decideHedge(attempt);
 */
export function decideHedge(attempt: WaitingAttempt): number | undefined {
    if (!attempt.isIdempotent || attempt.hasHedge) {
        return undefined;
    }
    const delayMs = Math.max(MINIMUM_HEDGE_DELAY_MS, attempt.estimatedFirstTokenMs * HEDGE_DELAY_FACTOR);
    const hedgeAtMs = attempt.sentAtMs + delayMs;
    return hedgeAtMs + attempt.estimatedFirstTokenMs <= attempt.firstTokenDueAtMs ? hedgeAtMs : undefined;
}
