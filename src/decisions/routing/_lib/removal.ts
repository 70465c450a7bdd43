/**
 * @module Temporary removal of failing endpoints and routes (outlier ejection).
 */
import type { Candidate, OutcomeRecord } from "../candidate";
import { FIRST_REMOVAL_MS, LONGEST_REMOVAL_MS, REMOVABLE_SHARE } from "../constants";

/** Tells whether an endpoint or route is removed; one on trial still counts as removed. */
export function isRemoved(outcomes: OutcomeRecord | undefined): boolean {
    return outcomes !== undefined && outcomes.removedUntilMs !== -Infinity;
}

/** Tells whether one more endpoint of the service may be removed without exceeding `REMOVABLE_SHARE`. */
export function isRemovalAllowed(
    peers: readonly Candidate[],
    findRecord: (peer: Candidate) => OutcomeRecord | undefined,
): boolean {
    const removed = peers.filter(peer => isRemoved(findRecord(peer))).length;
    return peers.length > 1 && removed < Math.max(1, Math.floor(peers.length * REMOVABLE_SHARE));
}

/** Removes an endpoint or route for twice as long as the last time, within the bounds (exponential backoff). */
export function setRemoved(outcomes: OutcomeRecord, nowMs: number): void {
    outcomes.removalMs = Math.min(LONGEST_REMOVAL_MS, Math.max(FIRST_REMOVAL_MS, outcomes.removalMs * 2));
    outcomes.removedUntilMs = nowMs + outcomes.removalMs;
    outcomes.isOnTrial = false;
}
