/**
 * @module The next steps from the VMs that are there to the ones that are declared.
 */
import { assertInvariant, Invariant } from "../../base/assertInvariant";
import { type VmRecord, VmRole, VmState } from "../../model/endpoint";
import { chooseAdditions } from "./_lib/chooseAdditions";
import { type GroupStatus, listGroups, listUsableVms, type ServiceVm } from "./_lib/groupStatus";
import { MAXIMUM_STEPS, ORDER_RETRY_INTERVAL_MS } from "./constants";
import { type FleetLimits, type FleetState, type FleetStep, FleetStepKind, type PendingStop } from "./fleetState";
import { reconcileFleetState } from "./reconcileFleetState";
import { listRefusedOffers } from "./recordRefusal";

/** What the decision reads besides the kept state. */
export interface FleetStepFacts {
    /** The VMs that the lagging list shows. */
    readonly vms: readonly VmRecord[];
    readonly nowWallMs: number;
    readonly limits: FleetLimits;
}

/** Steps, and the state to keep before any of them is taken. */
export interface FleetDecision {
    readonly state: FleetState;
    readonly steps: readonly FleetStep[];
}

/**
 * Decides the next steps. The new state must be kept in the table before the first step is taken: a successor then
 * repeats orders with the same tokens, and starts nothing twice.
 *
 * VMs are added before others are taken away: a service loses a VM only while none of its declared ones is missing. VMs
 * of services that nothing declares are left alone.
 *
 * @param kept - The state as it was kept
 * @param facts - The list of VMs, the time and bounds
 * @returns The state to keep and the steps to take after it was kept
 * @example
 * const { state, steps } = decideFleetSteps(kept, { vms, nowWallMs, limits });
 */
export function decideFleetSteps(kept: FleetState, facts: FleetStepFacts): FleetDecision {
    const { vms, nowWallMs, limits } = facts;
    const reconciled = reconcileFleetState(kept, vms, nowWallMs);
    const repeated = retryOrders(reconciled, vms, nowWallMs);
    const groups = listGroups(reconciled, vms);
    const additions = chooseAdditions(reconciled, {
        groups,
        reusableVms: listRetiredVms(reconciled, facts),
        refusedOfferIds: listRefusedOffers(reconciled, nowWallMs),
        weightLoads: limits.weightLoads,
        maximumSteps: Math.max(0, MAXIMUM_STEPS - repeated.steps.length),
        nowWallMs,
    });
    const added: FleetState = {
        ...repeated.state,
        generation: additions.generation,
        starts: [...repeated.state.starts, ...additions.starts],
        loads: [...repeated.state.loads, ...additions.loads],
    };
    const stops = chooseStops(added, facts);
    const steps: readonly FleetStep[] = [
        ...repeated.steps,
        ...additions.starts.map(start => ({ kind: FleetStepKind.Start as const, start })),
        ...additions.loads.map(load => ({ kind: FleetStepKind.Load as const, load })),
        ...stops.map(stop => ({ kind: FleetStepKind.Drain as const, stop })),
    ];
    checkLoads(steps, vms);
    return { state: { ...added, stops: [...added.stops, ...stops] }, steps };
}

/** Orders whose effect doesn't show are given again: answers get lost, and a holder may die before it acts. */
function retryOrders(state: FleetState, vms: readonly VmRecord[], nowWallMs: number): FleetDecision {
    const isDue = (order: { readonly sentAtWallMs: number }) =>
        nowWallMs - order.sentAtWallMs >= ORDER_RETRY_INTERVAL_MS;
    const starts = state.starts.filter(start => start.vmId === undefined && isDue(start));
    const loads = state.loads.filter(isDue);
    const listed = new Set(vms.map(vm => vm.vmId));
    // The directory drops a VM at the time it was announced to leave, so an order to stop doesn't depend on the list.
    const stops = state.stops.filter(stop => {
        const isFirstStop = nowWallMs >= stop.stopAtWallMs && stop.sentAtWallMs < stop.stopAtWallMs;
        return (listed.has(stop.vmId) || stop.isStopped !== true) && (isFirstStop || isDue(stop));
    });
    const steps: readonly FleetStep[] = [
        ...starts.map(start => ({ kind: FleetStepKind.Start as const, start })),
        ...loads.map(load => ({ kind: FleetStepKind.Load as const, load })),
        ...stops.map(stop => ({ kind: chooseStopKind(stop, nowWallMs), stop })),
    ].slice(0, MAXIMUM_STEPS);
    const sent = new Set(steps.map(getStepId));
    const mark = <T extends { readonly sentAtWallMs: number }>(order: T, id: string): T =>
        sent.has(id) ? { ...order, sentAtWallMs: nowWallMs } : order;
    return {
        state: {
            ...state,
            starts: state.starts.map(start => mark(start, start.token)),
            loads: state.loads.map(load => mark(load, load.token)),
            stops: state.stops.map(stop => mark(stop, stop.vmId)),
        },
        steps,
    };
}

function chooseStopKind(stop: PendingStop, nowWallMs: number): FleetStepKind.Drain | FleetStepKind.Stop {
    return nowWallMs >= stop.stopAtWallMs ? FleetStepKind.Stop : FleetStepKind.Drain;
}

function getStepId(step: FleetStep): string {
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

/** VMs whose version has been retired for so long that none of their requests is in progress. */
function listRetiredVms(state: FleetState, { vms, nowWallMs, limits }: FleetStepFacts): readonly ServiceVm[] {
    const isRetired = (vm: ServiceVm) => {
        const sinceWallMs = state.retiredAtWallMs[`${vm.serviceName}/${vm.version}`];
        return sinceWallMs !== undefined && nowWallMs - sinceWallMs >= limits.drainMs;
    };
    return listUsableVms(state, vms)
        .filter(vm => vm.role === VmRole.ModelRunner && isRetired(vm))
        .sort(compareIds);
}

function chooseStops(state: FleetState, facts: FleetStepFacts): readonly PendingStop[] {
    const groups = listGroups(state, facts.vms);
    const declaredServices = new Set(state.groups.map(group => group.serviceName));
    const lacking = new Set(
        groups.filter(isLacking).flatMap(group => (group.declared === undefined ? [] : [group.declared.serviceName])),
    );
    const surplus = groups.flatMap(group => {
        const serviceName = group.vms[0]?.serviceName;
        const isManaged = serviceName !== undefined && declaredServices.has(serviceName) && !lacking.has(serviceName);
        const count = group.declared?.count ?? 0;
        return isManaged && group.vms.length > count ? [...group.vms].sort(compareIds).slice(count) : [];
    });
    const stopAtWallMs = facts.nowWallMs + facts.limits.drainMs;
    return surplus.slice(0, MAXIMUM_STEPS).map(({ vmId }) => ({ vmId, stopAtWallMs, sentAtWallMs: facts.nowWallMs }));
}

function compareIds(left: VmRecord, right: VmRecord): number {
    return left.vmId < right.vmId ? -1 : 1;
}

function isLacking(group: GroupStatus): boolean {
    return group.declared !== undefined && group.vms.length < group.declared.count;
}

function checkLoads(steps: readonly FleetStep[], vms: readonly VmRecord[]): void {
    const leaving = new Set(vms.filter(vm => vm.state !== VmState.Live).map(vm => vm.vmId));
    for (const step of steps) {
        if (step.kind === FleetStepKind.Load) {
            const { vmId } = step.load;
            assertInvariant(!leaving.has(vmId), Invariant.NoLoadOrderToLeavingEndpoint, vmId);
        }
    }
}
