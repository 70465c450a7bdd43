/**
 * @module Starts platform and runner stand-ins for a preset, in this process.
 */
import { VmRole } from "../model/endpoint";
import type { VmPrice } from "../ports/cloud";
import {
    createStandinFleet,
    type FleetVm,
    type StandinFleet,
    type StandinFleetOptions,
} from "../standins/createStandinFleet";
import type { DeploymentPreset } from "./deploymentPreset";

const RUNNER_MACHINE_CLASS = "accelerator-2";
const APPLICATION_MACHINE_CLASS = "general-4";
const RUNNER_MICROS_PER_HOUR = 3_000_000;
const APPLICATION_MICROS_PER_HOUR = 200_000;
const RECLAIMABLE_PRICE_SHARE = 0.35;

/** A fleet of stand-ins and where it listens. */
export interface EmbeddedPlatform extends StandinFleet {
    /** URL of the platform's services. */
    readonly platformUrl: string;
}

/**
 * Starts the stand-ins of a preset: runners spread over its failure domains, every second one reclaimable.
 *
 * @param preset - Sizes and places
 * @param options - Speed of the engines, limits of the platform
 * @returns The running stand-ins
 * @example
 * const embedded = await createEmbeddedPlatform(DEPLOYMENT_PRESETS[PresetName.Small]);
 */
export async function createEmbeddedPlatform(
    preset: DeploymentPreset,
    options: Omit<StandinFleetOptions, "vms"> = {},
): Promise<EmbeddedPlatform> {
    const fleet = await createStandinFleet({
        ...options,
        platform: { prices: buildPrices(preset), ...options.platform },
        vms: buildVms(preset),
    });
    return { ...fleet, platformUrl: `http://${fleet.platform.address}:${fleet.platform.port}` };
}

function buildVms(preset: DeploymentPreset): readonly FleetVm[] {
    const buildMany = (count: number, facts: Pick<FleetVm, "role" | "serviceName" | "version" | "machineClass">) =>
        Array.from({ length: count }, (_unused, index) => ({
            ...findPlacement(preset, index),
            ...facts,
            isReclaimable: facts.role === VmRole.ModelRunner && index % 2 === 1,
        }));
    return [
        ...buildMany(preset.modelRunnerCount, {
            role: VmRole.ModelRunner,
            serviceName: preset.modelService.name,
            version: preset.modelService.version,
            machineClass: RUNNER_MACHINE_CLASS,
        }),
        ...buildMany(preset.applicationRunnerCount, {
            role: VmRole.ApplicationRunner,
            serviceName: preset.applicationService.name,
            version: preset.applicationService.version,
            machineClass: APPLICATION_MACHINE_CLASS,
        }),
    ];
}

function findPlacement(preset: DeploymentPreset, index: number) {
    return preset.placements[index % preset.placements.length] ?? { region: "local", failureDomain: "local" };
}

function buildPrices(preset: DeploymentPreset): readonly VmPrice[] {
    const classes = [
        { machineClass: RUNNER_MACHINE_CLASS, microsPerHour: RUNNER_MICROS_PER_HOUR },
        { machineClass: APPLICATION_MACHINE_CLASS, microsPerHour: APPLICATION_MICROS_PER_HOUR },
    ];
    return preset.placements.flatMap(placement =>
        classes.flatMap(({ machineClass, microsPerHour }) => [
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
