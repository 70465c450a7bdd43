/**
 * @module A platform stand-in with runner stand-ins on its VMs, all in one process.
 */
import type { Disposable } from "../base/disposableStore";
import { VmRole, VmState } from "../model/endpoint";
import type { VmStartRequest } from "../ports/cloud";
import {
    type ApplicationRunnerStandin,
    type ApplicationRunnerStandinOptions,
    createApplicationRunnerStandin,
} from "./createApplicationRunnerStandin";
import {
    createModelRunnerStandin,
    type ModelRunnerStandin,
    type ModelRunnerStandinOptions,
} from "./createModelRunnerStandin";
import { createPlatformStandin, type PlatformStandin, type PlatformStandinOptions } from "./createPlatformStandin";

/** A VM that is there from the start. */
export interface FleetVm extends Omit<VmStartRequest, "token"> {
    /** Port of its runner (default: chosen by the system). */
    readonly port?: number;
}

/** What a fleet consists of. */
export interface StandinFleetOptions {
    readonly vms: readonly FleetVm[];
    readonly platform?: PlatformStandinOptions;
    /** Settings of every model runner; its service, version and weight store are set by its VM. */
    readonly modelRunner?: ModelRunnerStandinOptions;
    /** Settings of every application runner; its service and version are set by its VM. */
    readonly applicationRunner?: ApplicationRunnerStandinOptions;
    /** Seed of everything random; runners get seeds derived from it (default 1). */
    readonly seed?: number;
}

/** A running fleet. */
export interface StandinFleet extends Disposable {
    readonly platform: PlatformStandin;
    /** The model runners by the id of their VM; one started or stopped by the cloud API comes and goes here. */
    readonly modelRunners: ReadonlyMap<string, ModelRunnerStandin>;
    readonly applicationRunners: ReadonlyMap<string, ApplicationRunnerStandin>;
}

/**
 * Starts a fleet. VMs that the cloud API starts get a runner in this process; the runner of a VM that is stopped or
 * reclaimed is disposed.
 *
 * @param options - The VMs of the start and the settings of platform and runners
 * @returns The fleet, listening and listed by the platform
 * @example
 * const fleet = await createStandinFleet({ vms: [{ role: VmRole.ModelRunner, region: "hobart", ... }] });
 */
export async function createStandinFleet(options: StandinFleetOptions): Promise<StandinFleet> {
    const seed = options.seed ?? 1;
    const modelRunners = new Map<string, ModelRunnerStandin>();
    const applicationRunners = new Map<string, ApplicationRunnerStandin>();
    let runnersStarted = 0;

    const startModelRunner = async ({ serviceName, version }: FleetVm, vmId: string, port?: number) => {
        const settings = { ...options.modelRunner, serviceName, version, port, seed: seed + ++runnersStarted };
        const runner = await createModelRunnerStandin({
            ...settings,
            weightStore: platform,
            handleExecuted: state => platform.updateVm(vmId, { version: state.version }),
        });
        modelRunners.set(vmId, runner);
        return runner;
    };
    const startApplicationRunner = async ({ serviceName, version }: FleetVm, vmId: string, port?: number) => {
        const settings = { ...options.applicationRunner, serviceName, version, port, seed: seed + ++runnersStarted };
        const runner = await createApplicationRunnerStandin(settings);
        applicationRunners.set(vmId, runner);
        return runner;
    };
    const startNothing = () => Promise.resolve(undefined);
    const STARTERS = {
        [VmRole.Node]: startNothing,
        [VmRole.ModelRunner]: startModelRunner,
        [VmRole.ApplicationRunner]: startApplicationRunner,
    };
    const stopProgram = (vmId: string) => {
        modelRunners.get(vmId)?.dispose();
        modelRunners.delete(vmId);
        applicationRunners.get(vmId)?.dispose();
        applicationRunners.delete(vmId);
    };
    const platform = await createPlatformStandin({
        seed,
        ...options.platform,
        startProgram: (order, vmId) => STARTERS[order.role](order, vmId),
        stopProgram,
    });
    for (const [index, vm] of options.vms.entries()) {
        const vmId = `${vm.serviceName}-${index + 1}`;
        const { port: wantedPort, ...place } = vm;
        const runner = await STARTERS[vm.role](vm, vmId, wantedPort);
        const address = runner?.address ?? platform.address;
        const port = runner?.port ?? wantedPort ?? 0;
        platform.addVm({ ...place, vmId, address, port, state: VmState.Live, incarnation: 1 });
    }
    return {
        platform,
        modelRunners,
        applicationRunners,
        dispose: () => {
            [...modelRunners.keys(), ...applicationRunners.keys()].forEach(stopProgram);
            platform.dispose();
        },
    };
}
