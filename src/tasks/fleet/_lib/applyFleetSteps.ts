/**
 * @module Executes fleet steps whose state is already stored.
 */
import { assertInvariant, Invariant } from "../../../base/assertInvariant";
import type { Clock } from "../../../base/clock";
import { type Failure, FailureKind } from "../../../base/failure";
import {
    type FleetState,
    type FleetStep,
    FleetStepKind,
    type PendingLoad,
    type PendingStart,
} from "../../../decisions/fleet/fleetState";
import { recordRefusal, recordStartAccepted, recordStopAccepted } from "../../../decisions/fleet/recordRefusal";
import type { Configuration } from "../../../model/configuration";
import { type Endpoint, VmRole, type VmRecord, VmState } from "../../../model/endpoint";
import type { CloudPort } from "../../../ports/cloud";
import { RunnerOrderKind } from "../../../ports/modelRunner";
import type { LeaseHandle } from "../../leases/leaseClient";
import type { OrderClient } from "../../leases/orderClient";
import { CALL_TIMEOUT_MS } from "../constants";
import { waitForCall } from "./waitForCall";

/** Dependencies of the steps. */
export interface FleetStepOptions {
    readonly clock: Clock;
    readonly cloud: Pick<CloudPort, "startVm" | "stopVm">;
    readonly orders: OrderClient;
    readonly listVms: () => readonly VmRecord[];
    readonly readConfiguration: () => Configuration;
    /** Notifies every node, this one included, that a VM is leaving and when it will be gone. */
    readonly announceLeaving: (vmId: string, goneAtWallMs: number) => void;
    readonly reportFailure: (name: string, failure: Failure) => void;
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
}

/** Updates the state with the result of a step. */
type StateUpdate = (state: FleetState) => FleetState;

const keepUnchanged: StateUpdate = state => state;

/**
 * Executes steps concurrently, each only if the lease is still held for the duration of a call.
 *
 * @param steps - Steps that the stored state already contains
 * @param state - The stored state
 * @param lease - The fleet lease
 * @param options - The dependencies of the steps
 * @returns The state updated with the results of the steps
 * @example
 * const after = await applyFleetSteps(decision.steps, decision.state, lease, options);
 */
export async function applyFleetSteps(
    steps: readonly FleetStep[],
    state: FleetState,
    lease: LeaseHandle,
    options: FleetStepOptions,
): Promise<FleetState> {
    const updates = await Promise.all(steps.map(step => applyStep(step, lease, options)));
    return updates.reduce((next, update) => update(next), state);
}

async function applyStep(step: FleetStep, lease: LeaseHandle, options: FleetStepOptions): Promise<StateUpdate> {
    if (lease.checkHeld(CALL_TIMEOUT_MS).isErr()) {
        return keepUnchanged;
    }
    switch (step.kind) {
        case FleetStepKind.Start:
            return applyStart(step.start, options);
        case FleetStepKind.Load:
            return applyLoad(step.load, lease, options);
        case FleetStepKind.Drain:
            options.announceLeaving(step.stop.vmId, step.stop.stopAtWallMs);
            return keepUnchanged;
        case FleetStepKind.Stop:
            return applyStop(step.stop.vmId, options);
    }
}

async function applyStart(start: PendingStart, options: FleetStepOptions): Promise<StateUpdate> {
    const { token, region, failureDomain, machineClass, isReclaimable, role, serviceName, version } = start;
    const order = { token, region, failureDomain, machineClass, isReclaimable, role, serviceName, version };
    const started = await waitForCall(options.clock, options.cloud.startVm(order));
    if (started.isOk()) {
        const { vmId } = started.value;
        options.reportEvent("vm started", { vm: vmId, token });
        return state => recordStartAccepted(state, start, vmId);
    }
    if (started.error.kind === FailureKind.PlatformRefused) {
        options.reportEvent("vm start refused", { service: serviceName, failureDomain, machineClass, isReclaimable });
        return state => recordRefusal(state, start, options.clock.readWallMs());
    }
    options.reportFailure("fleet-start", started.error);
    return keepUnchanged;
}

async function applyStop(vmId: string, options: FleetStepOptions): Promise<StateUpdate> {
    const stopped = await waitForCall(options.clock, options.cloud.stopVm(vmId));
    if (stopped.isErr()) {
        options.reportFailure("fleet-stop", stopped.error);
        return keepUnchanged;
    }
    options.reportEvent("vm stopped", { vm: vmId });
    return state => recordStopAccepted(state, vmId);
}

async function applyLoad(load: PendingLoad, lease: LeaseHandle, options: FleetStepOptions): Promise<StateUpdate> {
    const vm = options.listVms().find(candidate => candidate.vmId === load.vmId);
    if (vm?.state !== VmState.Live || vm.incarnation !== load.incarnation) {
        return keepUnchanged;
    }
    assertInvariant(isLive(options, load.vmId), Invariant.NoLoadOrderToLeavingEndpoint, load.vmId);
    const traits = options.readConfiguration().endpointTraits;
    const { checksFencing } = traits[`${vm.serviceName}/${vm.machineClass}`] ??
        traits[`${vm.serviceName}/*`] ?? { checksFencing: false };
    const order = { kind: RunnerOrderKind.LoadVersion, argument: load.version, token: load.token };
    const endpoint: Endpoint = {
        ...vm,
        endpointId: vm.vmId,
        role: VmRole.ModelRunner,
        serviceName: load.serviceName,
        version: vm.version ?? "",
    };
    const sent = await waitForCall(
        options.clock,
        options.orders.sendFencedOrder({ endpoint, order, lease, checksFencing }),
    );
    if (sent.isErr()) {
        options.reportFailure("fleet-load", sent.error);
    } else {
        options.reportEvent("version loaded", { vm: load.vmId, version: load.version });
    }
    return keepUnchanged;
}

function isLive(options: FleetStepOptions, vmId: string): boolean {
    return options.listVms().some(vm => vm.vmId === vmId && vm.state === VmState.Live);
}
