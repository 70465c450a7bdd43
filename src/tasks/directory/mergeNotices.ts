/**
 * @module Merging messages that VMs are leaving.
 */
import { VmState } from "../../model/endpoint";
import type { DirectoryState, DepartureNotice } from "./directoryState";

/**
 * Merges notices of the platform or of other nodes. A notice is never taken back.
 *
 * A notice without incarnation means every incarnation of the VM known until now. A notice for a VM that no list has
 * shown yet is remembered and takes effect when the VM appears.
 *
 * @param state - What is known
 * @param notices - The notices
 * @param nowWallMs - Now, in epoch milliseconds
 * @returns The new state, and the notices that told something new
 * @example
 * const { state: next, news } = mergeNotices(state, [{ vmId: "vm-7", reclaimAtWallMs }], clock.readWallMs());
 */
export function mergeNotices(
    state: DirectoryState,
    notices: readonly DepartureNotice[],
    nowWallMs: number,
): { readonly state: DirectoryState; readonly news: readonly DepartureNotice[] } {
    const departures = new Map(state.departures);
    const entries = new Map(state.entries);
    const news: DepartureNotice[] = [];
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
            news.push({ vmId: notice.vmId, incarnation, reclaimAtWallMs: departure.reclaimAtWallMs });
        }
    }
    return { state: { entries, departures }, news };
}
