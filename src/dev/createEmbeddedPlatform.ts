/**
 * @module Starts platform and runner stand-ins for a preset, in this process.
 */
import type { Disposable } from "../base/disposableStore";
import { type Placement, type VmRecord, VmRole, VmState } from "../model/endpoint";
import type { VmOrder, VmPrice } from "../ports/cloud";
import { createApplicationRunnerStandin } from "../standins/createApplicationRunnerStandin";
import { createModelRunnerStandin, type ModelRunnerStandinOptions } from "../standins/createModelRunnerStandin";
import { createPlatformStandin, type PlatformStandinOptions } from "../standins/createPlatformStandin";
import type { DeploymentPreset } from "./deploymentPreset";
import type { EmbeddedPlatform } from "./embeddedPlatform";

const RUNNER_MACHINE_CLASS = "accelerator-2";
const APPLICATION_MACHINE_CLASS = "general-4";
const RECLAIMABLE_EVERY = 2;
const RUNNER_MICROS_PER_HOUR = 3_000_000;
const APPLICATION_MICROS_PER_HOUR = 200_000;
const RECLAIMABLE_PRICE_SHARE = 0.35;

/** How the stand-ins are set up. */
export interface EmbeddedPlatformOptions {
    readonly runner?: ModelRunnerStandinOptions;
    readonly platform?: PlatformStandinOptions;
}

/**
 * Starts the stand-ins of a preset: runners spread over its failure domains, half of them reclaimable.
 *
 * @param preset - Sizes and places
 * @param options - Speed of the engines, limits of the platform
 * @returns The running stand-ins
 * @example
 * const embedded = await createEmbeddedPlatform(DEPLOYMENT_PRESETS[PresetName.Small]);
 */
export async function createEmbeddedPlatform(
    preset: DeploymentPreset,
    options: EmbeddedPlatformOptions = {},
): Promise<EmbeddedPlatform> {
    const modelRunners = new Map<string, Awaited<ReturnType<typeof createModelRunnerStandin>>>();
    const applicationRunners = new Map<string, Awaited<ReturnType<typeof createApplicationRunnerStandin>>>();
    const startedOnOrder = new Map<string, Disposable>();
    const startProgram = async (order: VmOrder, vmId: string) => {
        const runner =
            order.role === VmRole.ModelRunner
                ? await createModelRunnerStandin({ ...options.runner, version: order.version })
                : await createApplicationRunnerStandin({ version: order.version });
        startedOnOrder.set(vmId, runner);
        return { address: runner.address, port: runner.port };
    };
    const stopProgram = (vmId: string) => {
        startedOnOrder.get(vmId)?.dispose();
        modelRunners.get(vmId)?.dispose();
        applicationRunners.get(vmId)?.dispose();
    };
    const platform = await createPlatformStandin({
        prices: buildPrices(preset),
        ...options.platform,
        startProgram,
        stopProgram,
    });
    const addModelRunner = async (version: string) => {
        const index = modelRunners.size;
        const vmId = `model-runner-${index + 1}`;
        const runner = await createModelRunnerStandin({ seed: index + 1, ...options.runner, version });
        modelRunners.set(vmId, runner);
        const place = { ...findPlacement(preset, index), port: runner.port, version };
        platform.addVm(
            createRecord(vmId, VmRole.ModelRunner, {
                ...place,
                machineClass: RUNNER_MACHINE_CLASS,
                serviceName: preset.modelService.name,
                isReclaimable: index % RECLAIMABLE_EVERY === 1,
            }),
        );
        return vmId;
    };
    const addApplicationRunner = async (index: number) => {
        const vmId = `application-runner-${index + 1}`;
        const { version } = preset.applicationService;
        const runner = await createApplicationRunnerStandin({ seed: index + 1, version });
        applicationRunners.set(vmId, runner);
        platform.addVm(
            createRecord(vmId, VmRole.ApplicationRunner, {
                ...findPlacement(preset, index),
                port: runner.port,
                version,
                machineClass: APPLICATION_MACHINE_CLASS,
                serviceName: preset.applicationService.name,
                isReclaimable: false,
            }),
        );
    };
    for (let index = 0; index < preset.modelRunnerCount; index++) {
        await addModelRunner(preset.modelService.version);
    }
    for (let index = 0; index < preset.applicationRunnerCount; index++) {
        await addApplicationRunner(index);
    }
    return {
        platform,
        modelRunners,
        applicationRunners,
        platformUrl: `http://${platform.address}:${platform.port}`,
        addModelRunner,
        killModelRunner: vmId => modelRunners.get(vmId)?.dispose(),
        dispose: () => {
            [...modelRunners.values(), ...applicationRunners.values(), ...startedOnOrder.values()].forEach(runner =>
                runner.dispose(),
            );
            platform.dispose();
        },
    };
}

function findPlacement(preset: DeploymentPreset, index: number): Placement {
    return preset.placements[index % preset.placements.length] ?? { region: "local", failureDomain: "local" };
}

function createRecord(
    vmId: string,
    role: VmRole,
    facts: Placement &
        Pick<VmRecord, "port" | "machineClass" | "isReclaimable"> &
        Pick<VmRecord, "serviceName" | "version">,
): VmRecord {
    return { vmId, role, address: "127.0.0.1", state: VmState.Live, incarnation: 1, ...facts };
}

function buildPrices(preset: DeploymentPreset): readonly VmPrice[] {
    return preset.placements.flatMap(placement =>
        [
            { machineClass: RUNNER_MACHINE_CLASS, microsPerHour: RUNNER_MICROS_PER_HOUR },
            { machineClass: APPLICATION_MACHINE_CLASS, microsPerHour: APPLICATION_MICROS_PER_HOUR },
        ].flatMap(({ machineClass, microsPerHour }) => [
            { ...placement, machineClass, isReclaimable: false, microsPerHour },
            {
                ...placement,
                machineClass,
                isReclaimable: true,
                microsPerHour: microsPerHour * RECLAIMABLE_PRICE_SHARE,
            },
        ]),
    );
}
