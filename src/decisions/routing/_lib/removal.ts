/**
 * @module Removing endpoints and routes.
 */
import type { Candidate, OutcomeRecord } from "../candidate";
import { FIRST_REMOVAL_MS, LONGEST_REMOVAL_MS, REMOVABLE_SHARE } from "../constants";

/** Whether an endpoint or route is removed, on trial included. */
export function isRemoved(outcomes: OutcomeRecord | undefined): boolean {
    return outcomes !== undefined && outcomes.removedUntilMs !== -Infinity;
}

/** Whether one more endpoint of the service may be removed. */
export function hasRoomForRemoval(
    peers: readonly Candidate[],
    findRecord: (peer: Candidate) => OutcomeRecord | undefined,
): boolean {
    const removed = peers.filter(peer => isRemoved(findRecord(peer))).length;
    return peers.length > 1 && removed < Math.max(1, Math.floor(peers.length * REMOVABLE_SHARE));
}

/** Removes for twice the time of the last removal. */
export function setRemoved(outcomes: OutcomeRecord, nowMs: number): void {
    outcomes.removalMs = Math.min(LONGEST_REMOVAL_MS, Math.max(FIRST_REMOVAL_MS, outcomes.removalMs * 2));
    outcomes.removedUntilMs = nowMs + outcomes.removalMs;
    outcomes.isOnTrial = false;
}
