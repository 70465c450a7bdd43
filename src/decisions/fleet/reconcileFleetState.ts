/**
 * @module Brings the stored state in line with the listed VMs.
 */
import { type VmRecord, VmState } from "../../model/endpoint";
import { LOAD_TIMEOUT_MS, START_TIMEOUT_MS, STOPPED_RETENTION_MS, STOP_RETRY_TIMEOUT_MS } from "./constants";
import type { FleetState } from "./fleetState";

/**
 * Drops the orders that have taken effect or timed out. It needs only the current list, not each change of it: a VM
 * that appeared and disappeared between two reads is treated as one that never appeared.
 *
 * @param state - The stored state
 * @param vms - The VMs in the lagging list
 * @param nowWallMs - Epoch milliseconds
 * @returns The state in line with the list
 * @example
 * reconcileFleetState(state, directory.listVms(), clock.readWallMs());
 */
export function reconcileFleetState(state: FleetState, vms: readonly VmRecord[], nowWallMs: number): FleetState {
    const byId = new Map(vms.map(vm => [vm.vmId, vm]));
    const starts = state.starts.filter(start => {
        const hasAppeared = start.vmId !== undefined && byId.has(start.vmId);
        return !hasAppeared && nowWallMs - start.orderedAtWallMs < START_TIMEOUT_MS;
    });
    const loads = state.loads.filter(load => {
        const vm = byId.get(load.vmId);
        const canLoad = vm?.state === VmState.Live && vm.incarnation === load.incarnation;
        return canLoad && vm.version !== load.version && nowWallMs - load.orderedAtWallMs < LOAD_TIMEOUT_MS;
    });
    const stops = state.stops.filter(stop => {
        const retentionMs = stop.isStopped === true ? STOPPED_RETENTION_MS : STOP_RETRY_TIMEOUT_MS;
        return byId.has(stop.vmId) || nowWallMs < stop.stopAtWallMs + retentionMs;
    });
    const refusals = Object.fromEntries(
        Object.entries(state.refusals).filter(
            ([, { untilWallMs, count }]) => nowWallMs < computeExpiryWallMs(untilWallMs, count),
        ),
    );
    return {
        ...state,
        starts,
        loads,
        stops,
        refusals,
        retiredAtWallMs: updateRetiredVersions(state, vms, nowWallMs),
    };
}

/** A refusal is kept beyond its backoff, so that the backoff after the next refusal is longer. */
function computeExpiryWallMs(untilWallMs: number, count: number): number {
    return untilWallMs + START_TIMEOUT_MS * count;
}

function updateRetiredVersions(state: FleetState, vms: readonly VmRecord[], nowWallMs: number): Record<string, number> {
    const declared = new Set(state.groups.map(group => `${group.serviceName}/${group.version}`));
    const present = vms.map(vm => `${vm.serviceName}/${vm.version}`).filter(name => !declared.has(name));
    return Object.fromEntries([...new Set(present)].map(name => [name, state.retiredAtWallMs[name] ?? nowWallMs]));
}
