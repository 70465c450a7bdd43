/**
 * @module Merging the platform's VM list.
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
 * Merges a list of VMs that may be seconds old.
 *
 * A record of a lower incarnation than the known one is out of date and ignored. An incarnation known to be leaving
 * stays so, whatever the list says, and so does any incarnation on a VM whose reclaim time is still to come. A VM that the list lacks is kept until several lists in a row lack it.
 *
 * @param state - What is known
 * @param records - The platform's list
 * @param nowWallMs - Now, in epoch milliseconds
 * @returns The new state
 * @example
 * const next = mergeVmList(state, records, clock.readWallMs());
 */
export function mergeVmList(state: DirectoryState, records: readonly VmRecord[], nowWallMs: number): DirectoryState {
    const listed = new Map(records.map(record => [record.vmId, record]));
    const departures = new Map(state.departures);
    const entries = new Map<string, DirectoryEntry>();
    const limit = computeMissLimit(state, listed);
    for (const [vmId, entry] of state.entries) {
        const kept = filterEntry(entry, listed.get(vmId), limit);
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
    return { entries: dropGone(entries, nowWallMs), departures };
}

function computeMissLimit(state: DirectoryState, listed: ReadonlyMap<string, VmRecord>): number {
    const known = [...state.entries.keys()];
    const missing = known.filter(vmId => !listed.has(vmId)).length;
    return missing > known.length * BULK_LOSS_FRACTION && known.length > 1
        ? MISSED_LISTS_BEFORE_BULK_REMOVAL
        : MISSED_LISTS_BEFORE_REMOVAL;
}

function filterEntry(
    entry: DirectoryEntry,
    listed: VmRecord | undefined,
    missLimit: number,
): DirectoryEntry | undefined {
    if (listed !== undefined) {
        return { ...entry, missedLists: 0 };
    }
    const missedLists = entry.missedLists + 1;
    return missedLists >= missLimit ? undefined : { ...entry, missedLists };
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
    const isReclaimed = (departure?.reclaimAtWallMs ?? 0) + RECLAIM_GRACE_MS >= nowWallMs;
    if (departure === undefined || (departure.incarnation < record.incarnation && !isReclaimed)) {
        return record;
    }
    return { ...record, state: VmState.Leaving, reclaimAtWallMs: departure.reclaimAtWallMs };
}

function dropGone(entries: Map<string, DirectoryEntry>, nowWallMs: number): Map<string, DirectoryEntry> {
    for (const [vmId, { record }] of entries) {
        if (record.reclaimAtWallMs !== undefined && record.reclaimAtWallMs + RECLAIM_GRACE_MS < nowWallMs) {
            entries.delete(vmId);
        }
    }
    return entries;
}
