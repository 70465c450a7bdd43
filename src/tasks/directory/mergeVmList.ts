/**
 * @module Merges the platform's VM list into the directory.
 */
import { type VmRecord, VmState } from "../../model/endpoint";
import {
    BULK_LOSS_FRACTION,
    RECLAIM_GRACE_MS,
    MISSED_LISTS_BEFORE_REMOVAL,
    MISSED_LISTS_BEFORE_BULK_REMOVAL,
} from "./constants";
import type { Departure, DirectoryEntry, DirectoryState } from "./directoryState";

/**
 * Merges a VM list of the platform, which may be seconds old.
 *
 * A record of a lower incarnation than the known one is stale and ignored. An incarnation known to be leaving remains
 * so, whatever the list says; so does any newer incarnation of a VM whose reclaim time has not passed yet. A VM that
 * the list omits is kept until several consecutive lists omit it.
 *
 * @param state - The directory's state
 * @param records - The platform's list
 * @param nowWallMs - The current time, in epoch milliseconds
 * @returns The new state
 * @example
 * const next = mergeVmList(state, records, clock.readWallMs());
 */
export function mergeVmList(state: DirectoryState, records: readonly VmRecord[], nowWallMs: number): DirectoryState {
    const listed = new Map(records.map(record => [record.vmId, record]));
    const departures = new Map(state.departures);
    const entries = new Map<string, DirectoryEntry>();
    const missedListLimit = computeMissedListLimit(state, listed);
    for (const [vmId, entry] of state.entries) {
        const kept = updateMissedLists(entry, listed.get(vmId), missedListLimit);
        if (kept !== undefined) {
            entries.set(vmId, kept);
        }
    }
    for (const record of records) {
        const known = entries.get(record.vmId)?.record;
        if (known !== undefined && known.incarnation > record.incarnation) {
            continue;
        }
        recordDeparture(departures, record, nowWallMs);
        entries.set(record.vmId, {
            record: applyDeparture(record, departures.get(record.vmId), nowWallMs),
            missedLists: 0,
        });
    }
    return { entries: dropReclaimed(entries, nowWallMs), departures };
}

function computeMissedListLimit(state: DirectoryState, listed: ReadonlyMap<string, VmRecord>): number {
    const known = [...state.entries.keys()];
    const missing = known.filter(vmId => !listed.has(vmId)).length;
    return missing > known.length * BULK_LOSS_FRACTION && known.length > 1
        ? MISSED_LISTS_BEFORE_BULK_REMOVAL
        : MISSED_LISTS_BEFORE_REMOVAL;
}

/** Updates the count of missed lists; returns `undefined` for a VM to remove. */
function updateMissedLists(
    entry: DirectoryEntry,
    listed: VmRecord | undefined,
    missedListLimit: number,
): DirectoryEntry | undefined {
    if (listed !== undefined) {
        return { ...entry, missedLists: 0 };
    }
    const missedLists = entry.missedLists + 1;
    return missedLists >= missedListLimit ? undefined : { ...entry, missedLists };
}

function recordDeparture(departures: Map<string, Departure>, record: VmRecord, nowWallMs: number): void {
    const known = departures.get(record.vmId);
    if (record.state !== VmState.Leaving) {
        return;
    }
    departures.set(record.vmId, {
        incarnation: Math.max(record.incarnation, known?.incarnation ?? record.incarnation),
        reclaimAtWallMs: record.reclaimAtWallMs ?? known?.reclaimAtWallMs,
        lastReportedAtWallMs: nowWallMs,
    });
}

function applyDeparture(record: VmRecord, departure: Departure | undefined, nowWallMs: number): VmRecord {
    const isReclaimPending = (departure?.reclaimAtWallMs ?? 0) + RECLAIM_GRACE_MS >= nowWallMs;
    if (departure === undefined || (departure.incarnation < record.incarnation && !isReclaimPending)) {
        return record;
    }
    return { ...record, state: VmState.Leaving, reclaimAtWallMs: departure.reclaimAtWallMs };
}

function dropReclaimed(entries: Map<string, DirectoryEntry>, nowWallMs: number): Map<string, DirectoryEntry> {
    for (const [vmId, { record }] of entries) {
        if (record.reclaimAtWallMs !== undefined && record.reclaimAtWallMs + RECLAIM_GRACE_MS < nowWallMs) {
            entries.delete(vmId);
        }
    }
    return entries;
}
