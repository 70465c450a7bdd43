/**
 * @module Creates an in-memory cloud that refuses starts, reclaims VMs, loses answers and lists VMs with a lag.
 */
import type { Random } from "../../../base/createRandom";
import { type VmRecord, VmState } from "../../../model/endpoint";
import { buildOfferId } from "../buildGroupId";
import { type FleetState, type FleetStep, FleetStepKind, type PendingStart } from "../fleetState";
import { recordRefusal, recordStartAccepted, recordStopAccepted } from "../recordRefusal";

/** Delays and faults of the cloud. */
export interface SimulatedCloudOptions {
    readonly random: Random;
    /** Age of the VM list. */
    readonly listLagMs: number;
    /** Time from the order to start a VM until it serves. */
    readonly startMs: number;
    /** Probability that the answer to a start is lost; half as likely, a load, drain or stop is lost altogether. */
    readonly lostAnswerRate: number;
    readonly isRefused?: (offerId: string, nowMs: number) => boolean;
}

/** An in-memory cloud. */
export interface SimulatedCloud {
    /** Lists the VMs that exist at a time. */
    listNow(nowMs: number): readonly VmRecord[];
    /** Lists the VMs as the lagging list shows them. */
    listLagging(nowMs: number): readonly VmRecord[];
    /** Carries out a step and returns the state after the cloud's answer. */
    applyStep(state: FleetState, step: FleetStep, nowMs: number): FleetState;
    /** Marks VMs as leaving, and removes them after the notice period. */
    reclaim(matches: (vm: VmRecord) => boolean, nowMs: number, noticeMs: number): void;
    addVm(vm: VmRecord): void;
    readonly counters: { starts: number; refused: number; tokens: number };
}

interface SimulatedVm {
    vm: VmRecord;
    readonly servesFromMs: number;
    leavingMs: number;
    removedMs: number;
}

/**
 * Creates an in-memory cloud without VMs.
 *
 * @param options - Delays and faults
 * @returns The cloud
 * @example
 * createSimulatedCloud({ random, listLagMs: 5_000, startMs: 60_000, lostAnswerRate: 0.1 });
 */
export function createSimulatedCloud(options: SimulatedCloudOptions): SimulatedCloud {
    const simulatedVms: SimulatedVm[] = [];
    const byToken = new Map<string, string>();
    const counters = { starts: 0, refused: 0, tokens: 0 };
    const addFrom = (vm: VmRecord, servesFromMs: number) =>
        simulatedVms.push({ vm, servesFromMs, leavingMs: Infinity, removedMs: Infinity });
    const listVmsAt = (atMs: number) =>
        simulatedVms
            .filter(simulatedVm => simulatedVm.servesFromMs <= atMs && atMs < simulatedVm.removedMs)
            .map(simulatedVm => ({
                ...simulatedVm.vm,
                state: atMs < simulatedVm.leavingMs ? VmState.Live : VmState.Leaving,
            }));
    const startVm = (state: FleetState, start: PendingStart, nowMs: number): FleetState => {
        counters.starts++;
        const known = byToken.get(start.token);
        if (known === undefined && options.isRefused?.(buildOfferId(start), nowMs) === true) {
            counters.refused++;
            return recordRefusal(state, start, nowMs);
        }
        const vmId = known ?? `vm-${String(simulatedVms.length).padStart(6, "0")}`;
        if (known === undefined) {
            counters.tokens++;
            byToken.set(start.token, vmId);
            addFrom(buildVm(start, vmId), nowMs + options.startMs);
        }
        return options.random.drawFraction() < options.lostAnswerRate ? state : recordStartAccepted(state, start, vmId);
    };
    return {
        listNow: listVmsAt,
        listLagging: nowMs => listVmsAt(nowMs - options.listLagMs),
        applyStep: (state, step, nowMs) => {
            if (step.kind === FleetStepKind.Start) {
                return startVm(state, step.start, nowMs);
            }
            const vmId = step.kind === FleetStepKind.Load ? step.load.vmId : step.stop.vmId;
            const simulatedVm = simulatedVms.find(candidate => candidate.vm.vmId === vmId);
            if (simulatedVm === undefined || options.random.drawFraction() < options.lostAnswerRate / 2) {
                return state;
            }
            if (step.kind === FleetStepKind.Load) {
                simulatedVm.vm = { ...simulatedVm.vm, version: step.load.version };
            } else if (step.kind === FleetStepKind.Drain) {
                simulatedVm.leavingMs = Math.min(simulatedVm.leavingMs, nowMs);
            } else {
                simulatedVm.removedMs = Math.min(simulatedVm.removedMs, nowMs);
                return recordStopAccepted(state, vmId);
            }
            return state;
        },
        reclaim: (matches, nowMs, noticeMs) => {
            for (const simulatedVm of simulatedVms) {
                if (simulatedVm.servesFromMs <= nowMs && nowMs < simulatedVm.removedMs && matches(simulatedVm.vm)) {
                    simulatedVm.leavingMs = Math.min(simulatedVm.leavingMs, nowMs);
                    simulatedVm.removedMs = Math.min(simulatedVm.removedMs, nowMs + noticeMs);
                }
            }
        },
        addVm: vm => addFrom(vm, 0),
        counters,
    };
}

function buildVm(start: PendingStart, vmId: string): VmRecord {
    const { region, failureDomain, machineClass, isReclaimable, role, serviceName, version } = start;
    const place = { region, failureDomain, machineClass, isReclaimable, role, serviceName, version };
    return { ...place, vmId, address: "127.0.0.1", port: 1, state: VmState.Live, incarnation: 1 };
}
