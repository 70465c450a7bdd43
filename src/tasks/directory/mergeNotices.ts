/**
 * @module Merges departure notices into the directory.
 */
import { VmState } from "../../model/endpoint";
import type { DirectoryState, DepartureNotice } from "./directoryState";

/**
 * Merges departure notices of the platform or of other nodes. A notice can't be withdrawn.
 *
 * A notice without an incarnation applies to the newest known incarnation of the VM and all lower ones. A notice for a
 * VM that no list has included yet is stored, and applies when the VM is listed.
 *
 * @param state - The directory's state
 * @param notices - The notices
 * @param nowWallMs - The current time, in epoch milliseconds
 * @returns The new state, and the notices that were not known before
 * @example
 * const { state: next, newNotices } = mergeNotices(state, [{ vmId: "vm-7", reclaimAtWallMs }], clock.readWallMs());
 */
export function mergeNotices(
    state: DirectoryState,
    notices: readonly DepartureNotice[],
    nowWallMs: number,
): { readonly state: DirectoryState; readonly newNotices: readonly DepartureNotice[] } {
    const departures = new Map(state.departures);
    const entries = new Map(state.entries);
    const newNotices: DepartureNotice[] = [];
    for (const notice of notices) {
        const entry = entries.get(notice.vmId);
        const known = departures.get(notice.vmId);
        const incarnation = notice.incarnation ?? entry?.record.incarnation ?? known?.incarnation ?? 0;
        const isNew = known === undefined || known.incarnation < incarnation;
        const departure = {
            incarnation: Math.max(incarnation, known?.incarnation ?? incarnation),
            reclaimAtWallMs: notice.reclaimAtWallMs ?? known?.reclaimAtWallMs,
            lastReportedAtWallMs: nowWallMs,
        };
        departures.set(notice.vmId, departure);
        if (entry !== undefined && entry.record.incarnation <= departure.incarnation) {
            const reclaimAtWallMs = departure.reclaimAtWallMs ?? entry.record.reclaimAtWallMs;
            entries.set(notice.vmId, {
                ...entry,
                record: { ...entry.record, state: VmState.Leaving, reclaimAtWallMs },
            });
        }
        if (isNew) {
            newNotices.push({ vmId: notice.vmId, incarnation, reclaimAtWallMs: departure.reclaimAtWallMs });
        }
    }
    return { state: { entries, departures }, newNotices };
}
