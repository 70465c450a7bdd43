/**
 * @module Lists the capacity pools that can serve a service.
 */
import { buildOfferId } from "../buildGroupId";
import { MINIMUM_REPLACEMENT_SAVING } from "../constants";
import type { FleetOffer, ExistingGroup, MachineCapacity, ServiceDemand } from "../fleetPlan";
import type { CapacityPool } from "./capacityPool";

/** Inputs from which the pools are listed. */
export interface CapacityPoolFacts {
    readonly offers: readonly FleetOffer[];
    readonly capacities: readonly MachineCapacity[];
    /** VMs that exist, are being started or are loading the group's version. */
    readonly held: readonly ExistingGroup[];
    /** Ids of offers of which no VM can be started now. */
    readonly refusedOfferIds: ReadonlySet<string>;
}

const SECONDS_PER_HOUR = 3_600;

/**
 * Lists the pools that can serve a service within its latency targets and cost ceiling, cheapest per unit first.
 *
 * @param demand - The service, version and targets
 * @param facts - Offers, capacities, existing VMs and offers that refuse starts
 * @returns Pools with a limit above 0
 * @example
 * listCapacityPools(demand, facts);
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
    const pools = facts.offers.flatMap((offer): readonly CapacityPool[] => {
        const unitsPerVm = findUnitsPerVm(demand, facts.capacities, offer.machineClass);
        if (unitsPerVm <= 0 || computeCostPerThousand(offer.microsPerHour, unitsPerVm) > ceiling) {
            return [];
        }
        const offerId = buildOfferId(offer);
        const heldCount = held.get(offerId) ?? 0;
        const limit = facts.refusedOfferIds.has(offerId) ? 0 : Infinity;
        const reducedPrice = offer.microsPerHour * (1 - MINIMUM_REPLACEMENT_SAVING);
        return [
            { offer, unitsPerVm, comparisonPrice: reducedPrice, limit: heldCount, isHeld: true },
            { offer, unitsPerVm, comparisonPrice: offer.microsPerHour, limit, isHeld: false },
        ];
    });
    return pools
        .filter(pool => pool.limit > 0)
        .sort((left, right) => compareText(buildOfferId(left.offer), buildOfferId(right.offer)))
        .sort((left, right) => left.comparisonPrice / left.unitsPerVm - right.comparisonPrice / right.unitsPerVm);
}

/**
 * Computes the cost of 1,000 units on a fully used VM.
 *
 * @param microsPerHour - Price of the VM
 * @param unitsPerSecond - Units per second that it serves
 * @returns Millionths of the currency
 * @example
 * computeCostPerThousand(3_600_000, 1_000); //=> 1000
 */
export function computeCostPerThousand(microsPerHour: number, unitsPerSecond: number): number {
    return (microsPerHour * 1_000) / (unitsPerSecond * SECONDS_PER_HOUR);
}

/** Finds the highest load at which every latency target of the service is met; 0 if there is none. */
function findUnitsPerVm(demand: ServiceDemand, capacities: readonly MachineCapacity[], machineClass: string): number {
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
