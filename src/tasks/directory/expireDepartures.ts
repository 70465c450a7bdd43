/**
 * @module Removes reclaimed VMs and old departures from the directory.
 */
import { MAXIMUM_DEPARTURES, DEPARTURE_RETENTION_MS, RECLAIM_GRACE_MS } from "./constants";
import type { DirectoryState } from "./directoryState";

/**
 * Removes VMs whose reclaim time has passed, and departures that no list or notice has reported for a long time.
 * Departures of VMs that are still listed are kept.
 *
 * @param state - The directory's state
 * @param nowWallMs - The current time, in epoch milliseconds
 * @returns The new state; the same object if nothing was removed
 * @example
 * state = expireDepartures(state, clock.readWallMs());
 */
export function expireDepartures(state: DirectoryState, nowWallMs: number): DirectoryState {
    const reclaimed = [...state.entries].filter(([, { record }]) => {
        return record.reclaimAtWallMs !== undefined && record.reclaimAtWallMs + RECLAIM_GRACE_MS < nowWallMs;
    });
    const newestFirst = [...state.departures].sort(
        ([, left], [, right]) => right.lastReportedAtWallMs - left.lastReportedAtWallMs,
    );
    const kept = newestFirst.filter(([vmId, departure], index) => {
        return (
            state.entries.has(vmId) ||
            (index < MAXIMUM_DEPARTURES && departure.lastReportedAtWallMs + DEPARTURE_RETENTION_MS > nowWallMs)
        );
    });
    if (reclaimed.length === 0 && kept.length === state.departures.size) {
        return state;
    }
    const entries = new Map(state.entries);
    reclaimed.forEach(([vmId]) => entries.delete(vmId));
    return { entries, departures: new Map(kept) };
}
