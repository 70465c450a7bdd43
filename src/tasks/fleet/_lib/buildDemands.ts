/**
 * @module Derives the input of fleet planning from the configuration, the declared capacity and the recorded demand.
 */
import type { MachineCapacity, ServiceDemand } from "../../../decisions/fleet/fleetPlan";
import { listVersionDemands } from "../../../decisions/fleet/listVersionDemands";
import type { Configuration } from "../../../model/configuration";
import { type VmRecord, VmState } from "../../../model/endpoint";
import type { FleetCapacity } from "../parseFleetCapacity";
import type { DemandRecorder } from "./createDemandRecorder";

/**
 * Lists the services that are both configured and declared in the capacity file. The fleet task doesn't manage others.
 *
 * @param configuration - The current configuration
 * @param capacity - The declared capacity
 * @returns The names of the services
 * @example
 * listManagedServices(configuration, capacity); //=> ["assistant"]
 */
export function listManagedServices(configuration: Configuration, capacity: FleetCapacity): readonly string[] {
    return Object.keys(configuration.services).filter(name => Object.hasOwn(capacity.services, name));
}

/**
 * Builds the demand of each version of each managed service.
 *
 * @param configuration - The current configuration
 * @param capacity - The declared capacity
 * @param recorder - The recorded demand
 * @param nowWallMs - The current time, in epoch milliseconds
 * @returns The demands that the plan must meet
 * @example
 * planFleet(buildDemands(configuration, capacity, recorder, nowWallMs), facts);
 */
export function buildDemands(
    configuration: Configuration,
    capacity: FleetCapacity,
    recorder: DemandRecorder,
    nowWallMs: number,
): readonly ServiceDemand[] {
    return listManagedServices(configuration, capacity).flatMap(name => {
        const service = configuration.services[name];
        const classNames = capacity.services[name]?.classes ?? Object.keys(configuration.classes);
        const targets = classNames.flatMap(className => {
            const workClass = configuration.classes[className];
            return workClass === undefined ? [] : [{ ...workClass, className }];
        });
        const moves = Object.values(configuration.versionMoves);
        const estimate = recorder.estimate(name, nowWallMs);
        return service === undefined ? [] : listVersionDemands({ service, moves, estimate, targets, nowWallMs });
    });
}

/**
 * Flattens the declared capacity for the planner.
 *
 * @param capacity - The declared capacity
 * @returns One entry per service, machine class and load level
 * @example
 * listCapacities(capacity).length;
 */
export function listCapacities(capacity: FleetCapacity): readonly MachineCapacity[] {
    return Object.entries(capacity.services).flatMap(([serviceName, { machineClasses }]) =>
        Object.entries(machineClasses).flatMap(([machineClass, levels]) =>
            levels.map(level => ({ ...level, serviceName, machineClass })),
        ),
    );
}

/**
 * Computes the capacity of a service's live VMs without the failure domain that has the most capacity. It stands in for
 * the demand of a service while none is recorded, so that managing an existing fleet stops no VM at first.
 *
 * @param capacities - The declared capacity
 * @param vms - The listed VMs
 * @param serviceName - The service
 * @returns The capacity in units a second
 * @example
 * computeSurvivingCapacity(capacities, vms, "assistant");
 */
export function computeSurvivingCapacity(
    capacities: readonly MachineCapacity[],
    vms: readonly VmRecord[],
    serviceName: string,
): number {
    const unitsByDomain = new Map<string, number>();
    for (const vm of vms.filter(
        candidate => candidate.serviceName === serviceName && candidate.state === VmState.Live,
    )) {
        const levels = capacities.filter(
            capacity => capacity.serviceName === serviceName && capacity.machineClass === vm.machineClass,
        );
        const units = Math.max(0, ...levels.map(level => level.unitsPerSecond));
        unitsByDomain.set(vm.failureDomain, (unitsByDomain.get(vm.failureDomain) ?? 0) + units);
    }
    const domainUnits = [...unitsByDomain.values()];
    return domainUnits.reduce((sum, units) => sum + units, 0) - Math.max(0, ...domainUnits);
}
