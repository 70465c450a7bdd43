/**
 * @module Creates random offers, capacities and demands for tests and benchmarks.
 */
import type { Random } from "../../../base/createRandom";
import { VmRole } from "../../../model/endpoint";
import type { FleetOffer, MachineCapacity, ServiceDemand } from "../fleetPlan";

/** Offers, and capacities for their machine classes. */
export interface FleetExample {
    readonly offers: readonly FleetOffer[];
    readonly capacities: readonly MachineCapacity[];
}

/** The size of an example. */
export interface ExampleOptions {
    readonly domains: number;
    readonly machineClasses: number;
    readonly services: readonly string[];
    /** Whether every domain offers reclaimable VMs (default true). */
    readonly hasReclaimable?: boolean;
}

/**
 * Creates offers with prices that differ by domain and class, reclaimable ones at 25% to 60% of the on-demand price.
 *
 * @param random - Source of the random prices and capacities
 * @param options - Number of domains and classes, and the services
 * @returns Offers and capacities
 * @example
 * createFleetExample(createRandom(1), { domains: 3, machineClasses: 2, services: ["assistant"] });
 */
export function createFleetExample(random: Random, options: ExampleOptions): FleetExample {
    const classes = Array.from({ length: options.machineClasses }, (_unused, index) => ({
        name: `class-${index}`,
        units: 300 + random.drawInteger(0, 900),
        price: 1_000_000 + random.drawInteger(0, 2_000_000),
    }));
    const offers = Array.from({ length: options.domains }, (_unused, domain) =>
        classes.flatMap(({ name, price }): readonly FleetOffer[] => {
            const place = { region: `region-${domain % 5}`, failureDomain: `domain-${domain}`, machineClass: name };
            const onDemand = Math.round(price * (0.85 + 0.3 * random.drawFraction()));
            const reclaimable = Math.round(onDemand * (0.25 + 0.35 * random.drawFraction()));
            const offer = { ...place, isReclaimable: false, microsPerHour: onDemand };
            return options.hasReclaimable === false
                ? [offer]
                : [offer, { ...place, isReclaimable: true, microsPerHour: reclaimable }];
        }),
    ).flat();
    const capacities = options.services.flatMap(serviceName =>
        classes.map(({ name, units }) => ({
            serviceName,
            machineClass: name,
            unitsPerSecond: units,
            latencyMs: 900,
            tokenGapMs: 20,
        })),
    );
    return { offers, capacities };
}

/**
 * Creates a demand with one request class, whose targets every example meets.
 *
 * @param serviceName - The service
 * @param unitsPerSecond - The demand in units per second
 * @param changes - Fields to override
 * @returns The demand
 * @example
 * createDemand("assistant", 4_000);
 */
export function createDemand(
    serviceName: string,
    unitsPerSecond: number,
    changes: Partial<ServiceDemand> = {},
): ServiceDemand {
    const target = {
        className: "shift-digest",
        latencyTargetMs: 1_200,
        tokenGapTargetMs: 28,
        costCeilingMicros: 1_000_000_000,
    };
    return {
        serviceName,
        version: "v1",
        role: VmRole.ModelRunner,
        unitsPerSecond,
        demandReason: "test",
        targets: [target],
        ...changes,
    };
}
