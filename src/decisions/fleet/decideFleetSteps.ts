/**
 * @module Decides the next steps from the existing VMs to the declared groups.
 */
import { assertInvariant, Invariant } from "../../base/assertInvariant";
import { type VmRecord, VmRole, VmState } from "../../model/endpoint";
import { chooseAdditions } from "./_lib/chooseAdditions";
import { type GroupStatus, listGroups, listUsableVms, type ServiceVm } from "./_lib/groupStatus";
import { MAXIMUM_STEPS, ORDER_RETRY_INTERVAL_MS } from "./constants";
import { type FleetLimits, type FleetState, type FleetStep, FleetStepKind, type PendingStop } from "./fleetState";
import { reconcileFleetState } from "./reconcileFleetState";
import { listRefusedOffers } from "./recordRefusal";

/** Inputs of the decision besides the stored state. */
export interface FleetStepFacts {
    /** The VMs in the lagging list. */
    readonly vms: readonly VmRecord[];
    readonly nowWallMs: number;
    readonly limits: FleetLimits;
}

/** The steps to take, and the state to store before taking them. */
export interface FleetDecision {
    readonly state: FleetState;
    readonly steps: readonly FleetStep[];
}

/**
 * Decides the next steps. The new state must be stored in the table before the first step is taken: if another node
 * then takes over, it retries the orders with the same tokens and no VM is started twice.
 *
 * VMs are added before others are removed: a service loses a VM only while none of its declared VMs is missing. VMs of
 * services without any declared group are left alone.
 *
 * @param stored - The stored state
 * @param facts - The list of VMs, the time and limits
 * @returns The state to store, and the steps to take after that
 * @example
 * const { state, steps } = decideFleetSteps(stored, { vms, nowWallMs, limits });
 */
export function decideFleetSteps(stored: FleetState, facts: FleetStepFacts): FleetDecision {
    const { vms, nowWallMs, limits } = facts;
    const reconciled = reconcileFleetState(stored, vms, nowWallMs);
    const retried = retryOrders(reconciled, vms, nowWallMs);
    const groups = listGroups(reconciled, vms);
    const additions = chooseAdditions(reconciled, {
        groups,
        reusableVms: listRetiredVms(reconciled, facts),
        refusedOfferIds: listRefusedOffers(reconciled, nowWallMs),
        weightLoads: limits.weightLoads,
        maximumSteps: Math.max(0, MAXIMUM_STEPS - retried.steps.length),
        nowWallMs,
    });
    const added: FleetState = {
        ...retried.state,
        generation: additions.generation,
        starts: [...retried.state.starts, ...additions.starts],
        loads: [...retried.state.loads, ...additions.loads],
    };
    const stops = chooseStops(added, facts);
    const steps: readonly FleetStep[] = [
        ...retried.steps,
        ...additions.starts.map(start => ({ kind: FleetStepKind.Start as const, start })),
        ...additions.loads.map(load => ({ kind: FleetStepKind.Load as const, load })),
        ...stops.map(stop => ({ kind: FleetStepKind.Drain as const, stop })),
    ];
    checkLoadSteps(steps, vms);
    return { state: { ...added, stops: [...added.stops, ...stops] }, steps };
}

/** Sends orders without a visible effect again: answers get lost, and a node may die before it takes its steps. */
function retryOrders(state: FleetState, vms: readonly VmRecord[], nowWallMs: number): FleetDecision {
    const isDue = (order: { readonly sentAtWallMs: number }) =>
        nowWallMs - order.sentAtWallMs >= ORDER_RETRY_INTERVAL_MS;
    const starts = state.starts.filter(start => start.vmId === undefined && isDue(start));
    const loads = state.loads.filter(isDue);
    const listedIds = new Set(vms.map(vm => vm.vmId));
    // The directory removes a VM at its announced leave time, so an order to stop must not depend on the list.
    const stops = state.stops.filter(stop => {
        const isFirstStop = nowWallMs >= stop.stopAtWallMs && stop.sentAtWallMs < stop.stopAtWallMs;
        return (listedIds.has(stop.vmId) || stop.isStopped !== true) && (isFirstStop || isDue(stop));
    });
    const steps: readonly FleetStep[] = [
        ...starts.map(start => ({ kind: FleetStepKind.Start as const, start })),
        ...loads.map(load => ({ kind: FleetStepKind.Load as const, load })),
        ...stops.map(stop => ({ kind: chooseStopKind(stop, nowWallMs), stop })),
    ].slice(0, MAXIMUM_STEPS);
    const sentIds = new Set(steps.map(getOrderId));
    const markSent = <T extends { readonly sentAtWallMs: number }>(order: T, id: string): T =>
        sentIds.has(id) ? { ...order, sentAtWallMs: nowWallMs } : order;
    return {
        state: {
            ...state,
            starts: state.starts.map(start => markSent(start, start.token)),
            loads: state.loads.map(load => markSent(load, load.token)),
            stops: state.stops.map(stop => markSent(stop, stop.vmId)),
        },
        steps,
    };
}

function chooseStopKind(stop: PendingStop, nowWallMs: number): FleetStepKind.Drain | FleetStepKind.Stop {
    return nowWallMs >= stop.stopAtWallMs ? FleetStepKind.Stop : FleetStepKind.Drain;
}

function getOrderId(step: FleetStep): string {
    switch (step.kind) {
        case FleetStepKind.Start:
            return step.start.token;
        case FleetStepKind.Load:
            return step.load.token;
        case FleetStepKind.Drain:
        case FleetStepKind.Stop:
            return step.stop.vmId;
    }
}

/** Lists the VMs whose version has been retired for at least the drain time, so that their requests have ended. */
function listRetiredVms(state: FleetState, { vms, nowWallMs, limits }: FleetStepFacts): readonly ServiceVm[] {
    const isRetired = (vm: ServiceVm) => {
        const sinceWallMs = state.retiredAtWallMs[`${vm.serviceName}/${vm.version}`];
        return sinceWallMs !== undefined && nowWallMs - sinceWallMs >= limits.drainMs;
    };
    return listUsableVms(state, vms)
        .filter(vm => vm.role === VmRole.ModelRunner && isRetired(vm))
        .sort(compareVmIds);
}

function chooseStops(state: FleetState, facts: FleetStepFacts): readonly PendingStop[] {
    const groups = listGroups(state, facts.vms);
    const declaredServices = new Set(state.groups.map(group => group.serviceName));
    const incompleteServices = new Set(
        groups
            .filter(hasMissingVms)
            .flatMap(group => (group.declared === undefined ? [] : [group.declared.serviceName])),
    );
    const surplus = groups.flatMap(group => {
        const serviceName = group.vms[0]?.serviceName;
        const isManaged =
            serviceName !== undefined && declaredServices.has(serviceName) && !incompleteServices.has(serviceName);
        const count = group.declared?.count ?? 0;
        return isManaged && group.vms.length > count ? [...group.vms].sort(compareVmIds).slice(count) : [];
    });
    const stopAtWallMs = facts.nowWallMs + facts.limits.drainMs;
    return surplus.slice(0, MAXIMUM_STEPS).map(({ vmId }) => ({ vmId, stopAtWallMs, sentAtWallMs: facts.nowWallMs }));
}

function compareVmIds(left: VmRecord, right: VmRecord): number {
    return left.vmId < right.vmId ? -1 : 1;
}

function hasMissingVms(group: GroupStatus): boolean {
    return group.declared !== undefined && group.vms.length < group.declared.count;
}

function checkLoadSteps(steps: readonly FleetStep[], vms: readonly VmRecord[]): void {
    const leavingIds = new Set(vms.filter(vm => vm.state !== VmState.Live).map(vm => vm.vmId));
    for (const step of steps) {
        if (step.kind === FleetStepKind.Load) {
            const { vmId } = step.load;
            assertInvariant(!leavingIds.has(vmId), Invariant.NoLoadOrderToLeavingEndpoint, vmId);
        }
    }
}
