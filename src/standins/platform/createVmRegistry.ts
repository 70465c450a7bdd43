/**
 * @module The VMs of the platform stand-in and its lagging list of them.
 */
import type { Clock } from "../../base/clock";
import { type VmRecord, VmState } from "../../model/endpoint";
import type { ReclaimNotice } from "../../ports/cloud";
import { KEPT_SNAPSHOTS } from "../constants";

/** The VMs as they are now, and as they were. */
export interface VmRegistry {
    addVm(vm: VmRecord): void;
    updateVm(vmId: string, change: Partial<VmRecord>): void;
    removeVm(vmId: string): void;
    listNow(): readonly VmRecord[];
    /** Lists the VMs as they were `lagMs` milliseconds ago. */
    listLagging(lagMs: number): readonly VmRecord[];
    /** Lists the reclaim notices that were in force `lagMs` milliseconds ago. */
    listNotices(lagMs: number): readonly ReclaimNotice[];
}

interface Snapshot {
    readonly atMs: number;
    readonly vms: readonly VmRecord[];
}

/**
 * Creates an empty registry.
 *
 * @param clock - Tells how old a snapshot is
 * @returns The registry
 * @example
 * const registry = createVmRegistry(clock);
 * registry.addVm(vm);
 */
export function createVmRegistry(clock: Clock): VmRegistry {
    let vms: readonly VmRecord[] = [];
    let snapshots: readonly Snapshot[] = [];
    const replaceVms = (next: readonly VmRecord[]) => {
        vms = next;
        snapshots = [...snapshots.slice(-KEPT_SNAPSHOTS), { atMs: clock.readMonotonicMs(), vms }];
    };
    const listLagging = (lagMs: number) => {
        const untilMs = clock.readMonotonicMs() - lagMs;
        return snapshots.findLast(snapshot => snapshot.atMs <= untilMs)?.vms ?? [];
    };
    return {
        addVm: vm => replaceVms([...vms.filter(other => other.vmId !== vm.vmId), vm]),
        updateVm: (vmId, change) => replaceVms(vms.map(vm => (vm.vmId === vmId ? { ...vm, ...change } : vm))),
        removeVm: vmId => replaceVms(vms.filter(vm => vm.vmId !== vmId)),
        listNow: () => vms,
        listLagging,
        listNotices: lagMs =>
            listLagging(lagMs).flatMap(vm =>
                vm.state === VmState.Leaving && vm.reclaimAtWallMs !== undefined
                    ? [{ vmId: vm.vmId, reclaimAtWallMs: vm.reclaimAtWallMs }]
                    : [],
            ),
    };
}
