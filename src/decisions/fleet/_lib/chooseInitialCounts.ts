/**
 * @module Chooses an initial set of VMs: the cheapest per unit, with a limit per failure domain.
 */
import type { VmCounts, CapacityPool } from "./capacityPool";

/**
 * Chooses the cheapest pools until the demand is met by all domains but the one with the most capacity.
 *
 * @param pools - The usable pools, cheapest per unit first
 * @param demand - Units per second to serve after the loss of any one failure domain
 * @param domainUnits - Target for the units per second of one domain; exceeded by less than one VM
 * @returns Counts, which may fall short of the demand
 * @example
 * chooseInitialCounts(pools, 900, 450);
 */
export function chooseInitialCounts(pools: readonly CapacityPool[], demand: number, domainUnits: number): VmCounts {
    const counts: VmCounts = pools.map(() => 0);
    const domainTotals = new Map<string, number>();
    let total = 0;
    let largestDomainUnits = 0;
    for (const [index, pool] of pools.entries()) {
        const missing = demand - (total - largestDomainUnits);
        if (missing <= 0) {
            break;
        }
        const domain = pool.offer.failureDomain;
        const before = domainTotals.get(domain) ?? 0;
        const wanted = Math.min(domainUnits - before, demand + domainUnits - total);
        const count = Math.max(0, Math.min(pool.limit, Math.ceil(wanted / pool.unitsPerVm)));
        counts[index] = count;
        domainTotals.set(domain, before + count * pool.unitsPerVm);
        total += count * pool.unitsPerVm;
        largestDomainUnits = Math.max(largestDomainUnits, before + count * pool.unitsPerVm);
    }
    return counts;
}
