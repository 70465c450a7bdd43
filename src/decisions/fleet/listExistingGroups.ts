/**
 * @module Lists the VMs that a new plan may keep.
 */
import type { VmRecord } from "../../model/endpoint";
import { listGroups } from "./_lib/groupStatus";
import type { ExistingGroup } from "./fleetPlan";
import type { FleetState } from "./fleetState";

/**
 * Counts by group the VMs that the planner may keep: those that exist, are being started or are loading its version.
 *
 * @param state - The fleet's state
 * @param vms - The VMs in the list
 * @returns One entry per group with such VMs
 * @example
 * planFleet(demands, { ...facts, held: listExistingGroups(state, vms) });
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
