/**
 * @module Which offers can carry a service, and at what price the planner compares them.
 */
import { buildOfferId } from "../buildGroupId";
import { MINIMUM_REPLACEMENT_SAVING } from "../constants";
import type { FleetOffer, ExistingGroup, MachineCapacity, ServiceDemand } from "../fleetPlan";
import type { CapacityPool } from "./capacityPool";

/** What decides on segments. */
export interface CapacityPoolFacts {
    readonly offers: readonly FleetOffer[];
    readonly capacities: readonly MachineCapacity[];
    /** VMs that exist or are being started. */
    readonly held: readonly ExistingGroup[];
    /** Offers, by name, of which no VM can be started now. */
    readonly refusedOfferIds: ReadonlySet<string>;
}

const SECONDS_PER_HOUR = 3_600;

/**
 * Lists what can carry a service within its targets and under its cost ceiling, cheapest per unit first.
 *
 * @param demand - The service, version and targets
 * @param facts - Offers, capacities, present VMs and refusals
 * @returns Segments with a limit above 0
 * @example
 * listSegments(demand, facts);
 */
export function listCapacityPools(demand: ServiceDemand, facts: CapacityPoolFacts): readonly CapacityPool[] {
    const held = new Map<string, number>();
    for (const group of facts.held) {
        if (group.serviceName === demand.serviceName && group.version === demand.version) {
            const offerId = buildOfferId(group);
            held.set(offerId, (held.get(offerId) ?? 0) + group.count);
        }
    }
    const ceiling = Math.min(Infinity, ...demand.targets.map(target => target.costCeilingMicros));
    const segments = facts.offers.flatMap((offer): readonly CapacityPool[] => {
        const units = findUnits(demand, facts.capacities, offer.machineClass);
        if (units <= 0 || computeCostPerThousand(offer.microsPerHour, units) > ceiling) {
            return [];
        }
        const offerId = buildOfferId(offer);
        const heldCount = held.get(offerId) ?? 0;
        const limit = facts.refusedOfferIds.has(offerId) ? 0 : Infinity;
        const heldPrice = offer.microsPerHour * (1 - MINIMUM_REPLACEMENT_SAVING);
        return [
            { offer, unitsPerVm: units, comparisonPrice: heldPrice, limit: heldCount, isHeld: true },
            { offer, unitsPerVm: units, comparisonPrice: offer.microsPerHour, limit, isHeld: false },
        ];
    });
    return segments
        .filter(segment => segment.limit > 0)
        .sort((left, right) => compareText(buildOfferId(left.offer), buildOfferId(right.offer)))
        .sort((left, right) => left.comparisonPrice / left.unitsPerVm - right.comparisonPrice / right.unitsPerVm);
}

/**
 * Computes the cost of 1,000 units on a VM that is used fully.
 *
 * @param microsPerHour - Price of the VM
 * @param unitsPerSecond - What it carries
 * @returns Millionths of the currency
 * @example
 * computeCostPerThousand(3_600_000, 1_000); //=> 1000
 */
export function computeCostPerThousand(microsPerHour: number, unitsPerSecond: number): number {
    return (microsPerHour * 1_000) / (unitsPerSecond * SECONDS_PER_HOUR);
}

/** The highest load at which every target of the service is met; 0 if there is none. */
function findUnits(demand: ServiceDemand, capacities: readonly MachineCapacity[], machineClass: string): number {
    const latencyTargetMs = Math.min(Infinity, ...demand.targets.map(target => target.latencyTargetMs));
    const tokenGapTargetMs = Math.min(Infinity, ...demand.targets.map(target => target.tokenGapTargetMs));
    const usable = capacities.filter(
        capacity =>
            capacity.serviceName === demand.serviceName &&
            capacity.machineClass === machineClass &&
            capacity.latencyMs <= latencyTargetMs &&
            capacity.tokenGapMs <= tokenGapTargetMs,
    );
    return Math.max(0, ...usable.map(capacity => capacity.unitsPerSecond));
}

function compareText(left: string, right: string): number {
    return left < right ? -1 : left > right ? 1 : 0;
}
