/**
 * @module Bringing the kept state in line with the VMs that the list shows.
 */
import { type VmRecord, VmState } from "../../model/endpoint";
import { LOAD_TIMEOUT_MS, START_TIMEOUT_MS, STOPPED_RETENTION_MS, STOP_RETRY_TIMEOUT_MS } from "./constants";
import type { FleetState } from "./fleetState";

/**
 * Drops what has taken effect, and what has not within its time. Nothing depends on having seen each change of the
 * list: a VM that came and went between two looks is one that never came.
 *
 * @param state - The state as it was kept
 * @param vms - The VMs that the lagging list shows
 * @param nowWallMs - Now
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
        const isWanted = vm?.state === VmState.Live && vm.incarnation === load.incarnation;
        return isWanted && vm.version !== load.version && nowWallMs - load.orderedAtWallMs < LOAD_TIMEOUT_MS;
    });
    const stops = state.stops.filter(stop => {
        const keptMs = stop.isStopped === true ? STOPPED_RETENTION_MS : STOP_RETRY_TIMEOUT_MS;
        return byId.has(stop.vmId) || nowWallMs < stop.stopAtWallMs + keptMs;
    });
    const refusals = Object.fromEntries(
        Object.entries(state.refusals).filter(
            ([, { untilWallMs, count }]) => nowWallMs < computeForgetWallMs(untilWallMs, count),
        ),
    );
    return {
        ...state,
        starts,
        loads,
        stops,
        refusals,
        retiredAtWallMs: updateRetired(state, vms, nowWallMs),
    };
}

/** A refusal is remembered beyond its wait, so that the next one waits longer. */
function computeForgetWallMs(untilWallMs: number, count: number): number {
    return untilWallMs + START_TIMEOUT_MS * count;
}

function updateRetired(state: FleetState, vms: readonly VmRecord[], nowWallMs: number): Record<string, number> {
    const declared = new Set(state.groups.map(group => `${group.serviceName}/${group.version}`));
    const present = vms.map(vm => `${vm.serviceName}/${vm.version}`).filter(name => !declared.has(name));
    return Object.fromEntries([...new Set(present)].map(name => [name, state.retiredAtWallMs[name] ?? nowWallMs]));
}
