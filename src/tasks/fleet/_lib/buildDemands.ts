/**
 * @module What the plan must carry, from configuration and recorded demand.
 */
import type { MachineCapacity, ServiceDemand } from "../../../decisions/fleet/fleetPlan";
import { listVersionDemands } from "../../../decisions/fleet/listVersionDemands";
import type { Configuration } from "../../../model/configuration";
import { type VmRecord, VmState } from "../../../model/endpoint";
import type { FleetCapacity } from "../parseFleetCapacity";
import type { DemandRecorder } from "./createDemandRecorder";

/**
 * Lists the services that are both configured and declared in the capacity file; the others are left alone.
 *
 * @param configuration - The configuration in force
 * @param capacity - The declared capacity
 * @returns Names of services
 * @example
 * listManagedServices(configuration, capacity); //=> ["assistant"]
 */
export function listManagedServices(configuration: Configuration, capacity: FleetCapacity): readonly string[] {
    return Object.keys(configuration.services).filter(name => Object.hasOwn(capacity.services, name));
}

/**
 * Builds the demand of each version of each managed service.
 *
 * @param configuration - The configuration in force
 * @param capacity - The declared capacity
 * @param recorder - Recorded demand
 * @param nowWallMs - Now
 * @returns What the plan must carry
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
 * Lists the declared capacity for the planner.
 *
 * @param capacity - The declared capacity
 * @returns One entry for each service, machine class and level of load
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
 * Computes what the VMs that are there carry after the loss of the domain with most of them. It stands in for the
 * demand of a service of which none was recorded yet, so that taking up an existing fleet stops nothing at once.
 *
 * @param capacities - The declared capacity
 * @param vms - The VMs that the list shows
 * @param serviceName - The service
 * @returns Units a second
 * @example
 * computePresentUnits(capacities, vms, "assistant");
 */
export function computeSurvivingCapacity(
    capacities: readonly MachineCapacity[],
    vms: readonly VmRecord[],
    serviceName: string,
): number {
    const byDomain = new Map<string, number>();
    for (const vm of vms.filter(each => each.serviceName === serviceName && each.state === VmState.Live)) {
        const levels = capacities.filter(
            each => each.serviceName === serviceName && each.machineClass === vm.machineClass,
        );
        const units = Math.max(0, ...levels.map(each => each.unitsPerSecond));
        byDomain.set(vm.failureDomain, (byDomain.get(vm.failureDomain) ?? 0) + units);
    }
    const domains = [...byDomain.values()];
    return domains.reduce((sum, units) => sum + units, 0) - Math.max(0, ...domains);
}
