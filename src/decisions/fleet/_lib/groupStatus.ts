/**
 * @module Compares the declared groups with the existing VMs and pending orders.
 */
import { type VmRecord, VmState } from "../../../model/endpoint";
import { buildGroupId } from "../buildGroupId";
import type { DeclaredGroup } from "../fleetPlan";
import type { FleetState, PendingStart } from "../fleetState";

/** A VM that belongs to a service. */
export type ServiceVm = VmRecord & { readonly serviceName: string; readonly version: string };

/** A group, with its existing VMs and pending orders. */
export interface GroupStatus {
    readonly id: string;
    /** Absent for a group that isn't declared but has VMs or pending orders. */
    readonly declared: DeclaredGroup | undefined;
    /** Live VMs without a pending stop or load. */
    readonly vms: readonly ServiceVm[];
    readonly starts: readonly PendingStart[];
    /** Number of VMs that are loading this group's version. */
    readonly loading: number;
    /** Number of declared VMs that neither exist nor are being started or loaded. */
    readonly missing: number;
}

/**
 * Lists the VMs that count as serving: live, assigned to a service, and without a pending stop or load.
 *
 * @param state - The fleet's state
 * @param vms - The VMs in the list
 * @returns The VMs, in the order of the list
 * @example
 * listUsableVms(state, vms).length;
 */
export function listUsableVms(state: FleetState, vms: readonly VmRecord[]): readonly ServiceVm[] {
    const orderedIds = new Set([...state.stops, ...state.loads].map(({ vmId }) => vmId));
    return vms
        .filter((vm): vm is ServiceVm => vm.serviceName !== undefined && vm.version !== undefined)
        .filter(vm => vm.state === VmState.Live && !orderedIds.has(vm.vmId));
}

/**
 * Lists every group that is declared or has VMs or pending orders.
 *
 * @param state - The fleet's state
 * @param vms - The VMs in the list
 * @returns The groups, sorted by id
 * @example
 * listGroups(state, vms).filter(group => group.missing > 0);
 */
export function listGroups(state: FleetState, vms: readonly VmRecord[]): readonly GroupStatus[] {
    const byId = new Map(vms.map(vm => [vm.vmId, vm]));
    const present = collectById(listUsableVms(state, vms), buildGroupId);
    const starts = collectById(state.starts, buildGroupId);
    const loads = state.loads.flatMap(load => {
        const vm = byId.get(load.vmId);
        return vm === undefined ? [] : [{ ...vm, serviceName: load.serviceName, version: load.version }];
    });
    const loading = collectById(loads, buildGroupId);
    const declared = new Map(state.groups.map(group => [buildGroupId(group), group]));
    const ids = new Set([...declared.keys(), ...present.keys(), ...starts.keys(), ...loading.keys()]);
    return [...ids].sort().map(id => {
        const group = {
            vms: present.get(id) ?? [],
            starts: starts.get(id) ?? [],
            loading: loading.get(id)?.length ?? 0,
        };
        const count = declared.get(id)?.count ?? 0;
        const missing = Math.max(0, count - group.vms.length - group.starts.length - group.loading);
        return { id, declared: declared.get(id), ...group, missing };
    });
}

function collectById<T>(items: readonly T[], buildId: (item: T) => string): ReadonlyMap<string, readonly T[]> {
    const collected = new Map<string, T[]>();
    for (const item of items) {
        const id = buildId(item);
        const list = collected.get(id);
        if (list === undefined) {
            collected.set(id, [item]);
        } else {
            list.push(item);
        }
    }
    return collected;
}
