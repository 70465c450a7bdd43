/**
 * @module A cloud in memory that refuses, reclaims, loses answers and lists its VMs late.
 */
import type { Random } from "../../../base/createRandom";
import { type VmRecord, VmState } from "../../../model/endpoint";
import { buildOfferId } from "../buildGroupId";
import { type FleetState, type FleetStep, FleetStepKind, type PendingStart } from "../fleetState";
import { recordRefusal, recordStartAccepted, recordStopAccepted } from "../recordRefusal";

/** How the cloud behaves. */
export interface SimulatedCloudOptions {
    readonly random: Random;
    /** Age of what the list shows. */
    readonly listLagMs: number;
    /** From an order to the VM serving. */
    readonly startMs: number;
    readonly lostAnswerRate: number;
    readonly isRefused?: (offerId: string, nowMs: number) => boolean;
}

/** The cloud. */
export interface SimulatedCloud {
    /** VMs in truth. */
    listNow(nowMs: number): readonly VmRecord[];
    listLagging(nowMs: number): readonly VmRecord[];
    /** Takes a step; gives the state after its answer. */
    applyStep(state: FleetState, step: FleetStep, nowMs: number): FleetState;
    /** Gives notice to VMs, and removes them after it has passed. */
    reclaim(matches: (vm: VmRecord) => boolean, nowMs: number, noticeMs: number): void;
    addVm(vm: VmRecord): void;
    readonly counters: { starts: number; refused: number; tokens: number };
}

interface Life {
    vm: VmRecord;
    readonly fromMs: number;
    leavingMs: number;
    goneMs: number;
}

/**
 * Creates a cloud without VMs.
 *
 * @param options - Delays and faults
 * @returns The cloud
 * @example
 * createSimulatedCloud({ random, listLagMs: 5_000, startMs: 60_000, lostAnswerRate: 0.1 });
 */
export function createSimulatedCloud(options: SimulatedCloudOptions): SimulatedCloud {
    const lives: Life[] = [];
    const byToken = new Map<string, string>();
    const counters = { starts: 0, refused: 0, tokens: 0 };
    const add = (vm: VmRecord, fromMs: number) => lives.push({ vm, fromMs, leavingMs: Infinity, goneMs: Infinity });
    const listAt = (atMs: number) =>
        lives
            .filter(life => life.fromMs <= atMs && atMs < life.goneMs)
            .map(life => ({ ...life.vm, state: atMs < life.leavingMs ? VmState.Live : VmState.Leaving }));
    const startVm = (state: FleetState, start: PendingStart, nowMs: number): FleetState => {
        counters.starts++;
        const known = byToken.get(start.token);
        if (known === undefined && options.isRefused?.(buildOfferId(start), nowMs) === true) {
            counters.refused++;
            return recordRefusal(state, start, nowMs);
        }
        const vmId = known ?? `vm-${String(lives.length).padStart(6, "0")}`;
        if (known === undefined) {
            counters.tokens++;
            byToken.set(start.token, vmId);
            add(buildVm(start, vmId), nowMs + options.startMs);
        }
        return options.random.drawFraction() < options.lostAnswerRate ? state : recordStartAccepted(state, start, vmId);
    };
    return {
        listNow: listAt,
        listLagging: nowMs => listAt(nowMs - options.listLagMs),
        applyStep: (state, step, nowMs) => {
            if (step.kind === FleetStepKind.Start) {
                return startVm(state, step.start, nowMs);
            }
            const vmId = step.kind === FleetStepKind.Load ? step.load.vmId : step.stop.vmId;
            const life = lives.find(candidate => candidate.vm.vmId === vmId);
            if (life === undefined || options.random.drawFraction() < options.lostAnswerRate / 2) {
                return state;
            }
            if (step.kind === FleetStepKind.Load) {
                life.vm = { ...life.vm, version: step.load.version };
            } else if (step.kind === FleetStepKind.Drain) {
                life.leavingMs = Math.min(life.leavingMs, nowMs);
            } else {
                life.goneMs = Math.min(life.goneMs, nowMs);
                return recordStopAccepted(state, vmId);
            }
            return state;
        },
        reclaim: (matches, nowMs, noticeMs) => {
            for (const life of lives) {
                if (life.fromMs <= nowMs && nowMs < life.goneMs && matches(life.vm)) {
                    life.leavingMs = Math.min(life.leavingMs, nowMs);
                    life.goneMs = Math.min(life.goneMs, nowMs + noticeMs);
                }
            }
        },
        addVm: vm => add(vm, 0),
        counters,
    };
}

function buildVm(start: PendingStart, vmId: string): VmRecord {
    const { region, failureDomain, machineClass, isReclaimable, role, serviceName, version } = start;
    const place = { region, failureDomain, machineClass, isReclaimable, role, serviceName, version };
    return { ...place, vmId, address: "127.0.0.1", port: 1, state: VmState.Live, incarnation: 1 };
}
