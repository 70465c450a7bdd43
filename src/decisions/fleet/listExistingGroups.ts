/**
 * @module VMs that a new plan may keep.
 */
import type { VmRecord } from "../../model/endpoint";
import { listGroups } from "./_lib/groupStatus";
import type { ExistingGroup } from "./fleetPlan";
import type { FleetState } from "./fleetState";

/**
 * Counts what the planner may keep: VMs that are there or on the way, by group.
 *
 * @param state - The fleet's state
 * @param vms - The VMs that the list shows
 * @returns One entry a group
 * @example
 * planFleet(demands, { ...facts, held: listHeldGroups(state, vms) });
 */
export function listExistingGroups(state: FleetState, vms: readonly VmRecord[]): readonly ExistingGroup[] {
    return listGroups(state, vms).flatMap(group => {
        const sample = group.vms[0] ?? group.starts[0] ?? group.declared;
        const count = group.vms.length + group.starts.length + group.loading;
        return sample === undefined || count === 0 ? [] : [{ ...pickKey(sample), count }];
    });
}

function pickKey(sample: Omit<ExistingGroup, "count">): Omit<ExistingGroup, "count"> {
    const { serviceName, version, region, failureDomain, machineClass, isReclaimable } = sample;
    return { serviceName, version, region, failureDomain, machineClass, isReclaimable };
}
