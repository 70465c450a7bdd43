/**
 * @module A stand-in for the platform: table, object store, list of VMs, cloud API and weight store on one port.
 */
import { parseAnswer } from "../adapters/_lib/parseAnswer";
import { vmSchema } from "../adapters/httpVmList/vmSchema";
import { createSystemClock } from "../base/createSystemClock";
import type { Disposable } from "../base/disposableStore";
import { type VmRecord, VmState } from "../model/endpoint";
import type { VmPrice } from "../ports/cloud";
import type { TableRow } from "../ports/table";
import type { StandinCall, StandinReply } from "./_lib/standinCall";
import { type StandinOptions, startStandinServer } from "./_lib/startStandinServer";
import {
    PLATFORM_READS_PER_SECOND,
    PLATFORM_WRITES_PER_SECOND,
    VM_LIST_LAG_MS,
    VM_START_MS,
    WEIGHT_BYTES,
    WEIGHT_BYTES_PER_SECOND,
} from "./constants";
import { FaultKind, type FaultRule, type FaultSwitches } from "./fault";
import { createCloudRoutes, type VmHooks } from "./platform/createCloudRoutes";
import { createObjectRoutes } from "./platform/createObjectRoutes";
import { createTableRoutes } from "./platform/createTableRoutes";
import { createVmRegistry } from "./platform/createVmRegistry";
import { createWeightRoutes } from "./platform/createWeightRoutes";
import { HttpStatus } from "../adapters/_lib/httpStatus";

/** Settings of the platform stand-in. */
export interface PlatformStandinOptions extends StandinOptions, VmHooks {
    readonly writesPerSecond?: number;
    readonly readsPerSecond?: number;
    readonly vmListLagMs?: number;
    readonly vmStartMs?: number;
    /** Age that a reclaim notice must have to be listed (default 0). */
    readonly noticeLagMs?: number;
    readonly weightBytes?: number;
    readonly weightBytesPerSecond?: number;
    readonly prices?: readonly VmPrice[];
}

/** A running platform stand-in. */
export interface PlatformStandin extends FaultSwitches, Disposable {
    readonly address: string;
    readonly port: number;
    /** Port of `/faults` that answers also while the platform is down. */
    readonly controlPort: number;
    /** The table's rows, for tests that look behind the adapter. */
    readonly rows: ReadonlyMap<string, TableRow>;
    /** The objects, for tests that look behind the adapter. */
    readonly objects: ReadonlyMap<string, Buffer>;
    /** Adds a VM that the cloud API did not start, such as a node. */
    addVm(vm: VmRecord): void;
    updateVm(vmId: string, change: Partial<VmRecord>): void;
    removeVm(vmId: string): void;
    /** The VMs as they are, without the list's lag. */
    listVmsNow(): readonly VmRecord[];
    /** Gives reclaim notice to VMs; they go after `noticeMs`. */
    reclaimVms(vmIds: readonly string[], noticeMs: number): void;
}

/**
 * Starts a platform stand-in on loopback.
 *
 * @param options - Limits, lags, prices, hooks that start and stop programs on VMs, ports, seed and clock
 * @returns The stand-in, listening
 * @example
 * const platform = await createPlatformStandin({ vmListLagMs: 0 });
 * platform.setFaults([{ kind: FaultKind.AnswerLostAfterEffect, route: "/table/transactions", times: 1 }]);
 * platform.dispose();
 */
export async function createPlatformStandin(options: PlatformStandinOptions = {}): Promise<PlatformStandin> {
    const clock = options.clock ?? createSystemClock();
    const rows = new Map<string, TableRow>();
    const objects = new Map<string, Buffer>();
    const registry = createVmRegistry(clock);
    const limits = {
        clock,
        writesPerSecond: options.writesPerSecond ?? PLATFORM_WRITES_PER_SECOND,
        readsPerSecond: options.readsPerSecond ?? PLATFORM_READS_PER_SECOND,
    };
    const listVms = () => {
        const lagMs = options.vmListLagMs ?? VM_LIST_LAG_MS;
        const extraMs = server.gate.strike(FaultKind.VmListLagging)?.delayMs ?? 0;
        return { status: HttpStatus.Ok, body: { vms: registry.listLagging(lagMs + extraMs) } };
    };
    const addListedVm = (call: StandinCall): StandinReply => {
        const vm = parseAnswer(call.body, vmSchema);
        if (vm === undefined) {
            return { status: HttpStatus.BadRequest, body: { effect: "none" } };
        }
        registry.addVm(vm);
        return { status: HttpStatus.Ok };
    };
    const removeListedVm = (call: StandinCall): StandinReply => {
        removeVm(call.path.slice("/vms/".length));
        return { status: HttpStatus.Ok };
    };
    const reclaimVms = (vmIds: readonly string[], noticeMs: number) => {
        const reclaimAtWallMs = clock.readWallMs() + noticeMs;
        vmIds.forEach(vmId => registry.updateVm(vmId, { state: VmState.Leaving, reclaimAtWallMs }));
        void clock.waitMs(noticeMs).then(() => vmIds.forEach(removeVm));
    };
    const removeVm = (vmId: string) => {
        options.stopProgram?.(vmId);
        registry.removeVm(vmId);
    };
    const handleRules = (rules: readonly FaultRule[]) => {
        for (const rule of rules.filter(entry => entry.kind === FaultKind.ReclaimNotice)) {
            const struck = registry.listNow().filter(vm => isReclaimed(vm, rule));
            reclaimVms(
                struck.map(vm => vm.vmId),
                rule.delayMs ?? 0,
            );
        }
    };
    const server = await startStandinServer({
        ...options,
        clock,
        handleRules,
        routes: [
            ...createTableRoutes({ rows, ...limits }),
            ...createObjectRoutes({ objects, ...limits }),
            { method: "GET", path: "/vms", handle: listVms },
            { method: "POST", path: "/vms", handle: addListedVm },
            { method: "DELETE", path: "/vms/", handle: removeListedVm },
            ...createCloudRoutes({
                registry,
                clock,
                prices: options.prices ?? [],
                startMs: options.vmStartMs ?? VM_START_MS,
                noticeLagMs: options.noticeLagMs ?? 0,
                hooks: options,
                readGate: () => server.gate,
            }),
            ...createWeightRoutes({
                clock,
                bytes: options.weightBytes ?? WEIGHT_BYTES,
                bytesPerSecond: options.weightBytesPerSecond ?? WEIGHT_BYTES_PER_SECOND,
            }),
        ],
    });
    return {
        address: server.address,
        port: server.port,
        controlPort: server.controlPort,
        rows,
        objects,
        addVm: registry.addVm,
        updateVm: registry.updateVm,
        removeVm,
        listVmsNow: registry.listNow,
        reclaimVms,
        setFaults: server.setFaults,
        dispose: server.dispose,
    };
}

function isReclaimed(vm: VmRecord, rule: FaultRule): boolean {
    return (
        vm.isReclaimable &&
        vm.state === VmState.Live &&
        (rule.failureDomain === undefined || rule.failureDomain === vm.failureDomain)
    );
}
