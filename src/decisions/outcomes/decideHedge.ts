/**
 * @module When a second attempt is made beside one that is late with its first token.
 */
import { MINIMUM_HEDGE_DELAY_MS, HEDGE_DELAY_FACTOR } from "./constants";

/** An attempt that has given no token yet. */
export interface WaitingAttempt {
    readonly isIdempotent: boolean;
    readonly hasHedge: boolean;
    /** Monotonic milliseconds at which the attempt was sent. */
    readonly sentAtMs: number;
    readonly estimatedFirstTokenMs: number;
    /** Monotonic milliseconds. */
    readonly firstTokenDueAtMs: number;
}

/**
 * Decides when to hedge: once the estimate is overrun, while a second attempt can still meet the target.
 *
 * @param attempt - The attempt that is waited for
 * @returns Monotonic milliseconds of the hedge, or `undefined` if there is none
 * @example
 * const hedgeAtMs = decideHedge(attempt);
 */
export function decideHedge(attempt: WaitingAttempt): number | undefined {
    if (!attempt.isIdempotent || attempt.hasHedge) {
        return undefined;
    }
    const overrunMs = Math.max(MINIMUM_HEDGE_DELAY_MS, attempt.estimatedFirstTokenMs * HEDGE_DELAY_FACTOR);
    const hedgeAtMs = attempt.sentAtMs + overrunMs;
    return hedgeAtMs + attempt.estimatedFirstTokenMs <= attempt.firstTokenDueAtMs ? hedgeAtMs : undefined;
}
