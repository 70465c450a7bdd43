/**
 * @module Records answers to start and stop orders, and tracks which offers are in backoff.
 */
import { type VmRecord, VmState } from "../../model/endpoint";
import { buildOfferId } from "./buildGroupId";
import {
    INITIAL_REFUSAL_BACKOFF_MS,
    MAXIMUM_REFUSAL_BACKOFF_MS,
    RECLAIM_WAVE_SHARE,
    RECLAIM_WAVE_BACKOFF_MS,
} from "./constants";
import type { FleetState, PendingStart } from "./fleetState";

/**
 * Records that the cloud refused a start. The start is dropped, and the offer enters backoff for a time that doubles
 * with each further refusal. A refusal during the backoff restarts it without doubling.
 *
 * @param state - The fleet's state
 * @param start - The refused start
 * @param nowWallMs - Epoch milliseconds
 * @returns The new state
 * @example
 * recordRefusal(state, start, clock.readWallMs());
 */
export function recordRefusal(state: FleetState, start: PendingStart, nowWallMs: number): FleetState {
    const offerId = buildOfferId(start);
    const known = state.refusals[offerId];
    const isWithinWait = known !== undefined && nowWallMs < known.untilWallMs;
    const count = isWithinWait ? known.count : (known?.count ?? 0) + 1;
    const waitMs = Math.min(MAXIMUM_REFUSAL_BACKOFF_MS, INITIAL_REFUSAL_BACKOFF_MS * 2 ** (count - 1));
    return {
        ...state,
        starts: state.starts.filter(other => other.token !== start.token),
        refusals: { ...state.refusals, [offerId]: { count, untilWallMs: nowWallMs + waitMs } },
    };
}

/**
 * Records that the cloud accepted a start, and clears the offer's backoff.
 *
 * @param state - The fleet's state
 * @param start - The accepted start
 * @param vmId - The id of the new VM
 * @returns The new state
 * @example
 * recordStartAccepted(state, start, "vm-17");
 */
export function recordStartAccepted(state: FleetState, start: PendingStart, vmId: string): FleetState {
    const refusals = Object.fromEntries(Object.entries(state.refusals).filter(([id]) => id !== buildOfferId(start)));
    const starts = state.starts.map(other => (other.token === start.token ? { ...other, vmId } : other));
    return { ...state, starts, refusals };
}

/**
 * Records that the cloud accepted the order to stop a VM.
 *
 * @param state - The fleet's state
 * @param vmId - The id of the VM
 * @returns The new state
 * @example
 * recordStopAccepted(state, "vm-17");
 */
export function recordStopAccepted(state: FleetState, vmId: string): FleetState {
    const stops = state.stops.map(stop => (stop.vmId === vmId ? { ...stop, isStopped: true } : stop));
    return { ...state, stops };
}

/**
 * Records reclaim waves: when the cloud reclaims a large share of an offer's VMs at once, the offer enters backoff. VMs
 * that are being stopped on purpose don't count as reclaimed.
 *
 * @param state - The fleet's state
 * @param vms - The VMs in the list
 * @param nowWallMs - Epoch milliseconds
 * @returns The new state
 * @example
 * recordReclaimWaves(state, directory.listVms(), clock.readWallMs());
 */
export function recordReclaimWaves(state: FleetState, vms: readonly VmRecord[], nowWallMs: number): FleetState {
    const counts = new Map<string, { all: number; leaving: number }>();
    for (const vm of vms.filter(candidate => candidate.isReclaimable)) {
        const offerId = buildOfferId(vm);
        const count = counts.get(offerId) ?? { all: 0, leaving: 0 };
        const isReclaimed = vm.state === VmState.Leaving && !state.stops.some(stop => stop.vmId === vm.vmId);
        counts.set(offerId, { all: count.all + 1, leaving: count.leaving + (isReclaimed ? 1 : 0) });
    }
    const refusals = { ...state.refusals };
    for (const [offerId, { all, leaving }] of counts) {
        const known = refusals[offerId];
        if (
            leaving > 1 &&
            leaving >= all * RECLAIM_WAVE_SHARE &&
            (known === undefined || known.untilWallMs <= nowWallMs)
        ) {
            refusals[offerId] = { count: known?.count ?? 1, untilWallMs: nowWallMs + RECLAIM_WAVE_BACKOFF_MS };
        }
    }
    return { ...state, refusals };
}

/**
 * Lists the offers that are in backoff, so that no VM of them is started now.
 *
 * @param state - The fleet's state
 * @param nowWallMs - Epoch milliseconds
 * @returns Offer ids
 * @example
 * planFleet(demands, { ...facts, refusedOfferIds: listRefusedOffers(state, nowWallMs) });
 */
export function listRefusedOffers(state: FleetState, nowWallMs: number): ReadonlySet<string> {
    const refused = Object.entries(state.refusals).filter(([, { untilWallMs }]) => nowWallMs < untilWallMs);
    return new Set(refused.map(([offerId]) => offerId));
}
