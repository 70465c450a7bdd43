/**
 * @module Bounding what the directory remembers.
 */
import { MAXIMUM_DEPARTURES, DEPARTURE_RETENTION_MS, RECLAIM_GRACE_MS } from "./constants";
import type { DirectoryState } from "./directoryState";

/**
 * Drops VMs whose reclaim time has passed and forgets departures that nobody has mentioned for a long time.
 *
 * @param state - What is known
 * @param nowWallMs - Now, in epoch milliseconds
 * @returns The new state; the same object if nothing was dropped
 * @example
 * state = expireDepartures(state, clock.readWallMs());
 */
export function expireDepartures(state: DirectoryState, nowWallMs: number): DirectoryState {
    const gone = [...state.entries].filter(([, { record }]) => {
        return record.reclaimAtWallMs !== undefined && record.reclaimAtWallMs + RECLAIM_GRACE_MS < nowWallMs;
    });
    const byAge = [...state.departures].sort(
        ([, left], [, right]) => right.lastReportedAtWallMs - left.lastReportedAtWallMs,
    );
    const kept = byAge.filter(([vmId, departure], index) => {
        return (
            state.entries.has(vmId) ||
            (index < MAXIMUM_DEPARTURES && departure.lastReportedAtWallMs + DEPARTURE_RETENTION_MS > nowWallMs)
        );
    });
    if (gone.length === 0 && kept.length === state.departures.size) {
        return state;
    }
    const entries = new Map(state.entries);
    gone.forEach(([vmId]) => entries.delete(vmId));
    return { entries, departures: new Map(kept) };
}
