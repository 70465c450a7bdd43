/**
 * @module Sums the capacity of a set of VMs, in total and after the loss of a failure domain.
 */
import type { VmCounts, CapacityPool } from "./capacityPool";

/** Capacity sums of a set of VMs. Updated in place, because improving a plan recomputes them in its innermost loop. */
export interface CapacityTotals {
    /** Units per second by failure domain. */
    readonly byDomain: Map<string, number>;
    /** Units per second in total. */
    total: number;
}

/**
 * Sums the capacity of a set of VMs.
 *
 * @param pools - The pools
 * @param counts - Number of VMs of each pool
 * @returns Units per second by failure domain and in total
 * @example
 * sumCapacity(pools, counts).total;
 */
export function sumCapacity(pools: readonly CapacityPool[], counts: VmCounts): CapacityTotals {
    const totals: CapacityTotals = { byDomain: new Map(), total: 0 };
    pools.forEach((pool, index) => addVms(totals, pool, counts[index] ?? 0));
    return totals;
}

/**
 * Adds VMs to the sums, or removes them.
 *
 * @param totals - The sums; updated in place
 * @param pool - The pool of the VMs
 * @param count - Number of VMs; negative to remove them
 * @example
 * addVms(totals, pool, -1);
 */
export function addVms(totals: CapacityTotals, pool: CapacityPool, count: number): void {
    const domain = pool.offer.failureDomain;
    totals.byDomain.set(domain, (totals.byDomain.get(domain) ?? 0) + count * pool.unitsPerVm);
    totals.total += count * pool.unitsPerVm;
}

/**
 * Computes the units per second left after the loss of the failure domain with the most capacity.
 *
 * @param totals - The sums
 * @returns Units per second
 * @example
 * computeUnitsAfterLoss(totals) >= demand;
 */
export function computeUnitsAfterLoss(totals: CapacityTotals): number {
    return totals.total - Math.max(0, ...totals.byDomain.values());
}
