/**
 * @module Creating outcome records.
 */
import type { OutcomeRecord } from "./candidate";

/**
 * Creates the record of an endpoint or route that has received no attempts yet.
 *
 * @returns The record
 * @example
 * const outcomes = createOutcomeRecord();
 */
export function createOutcomeRecord(): OutcomeRecord {
    return {
        consecutiveFailures: 0,
        failingSinceMs: -Infinity,
        recentFailures: 0,
        recentSuccesses: 0,
        lastSuccessAtMs: -Infinity,
        removedUntilMs: -Infinity,
        isOnTrial: false,
        isTrialRunning: false,
        removalMs: 0,
    };
}
