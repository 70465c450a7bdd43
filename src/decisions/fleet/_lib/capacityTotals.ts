/**
 * @module What a choice of VMs carries, and what is left after the loss of a domain.
 */
import type { VmCounts, CapacityPool } from "./capacityPool";

/** Running sums of a choice of VMs; changed in place while a plan is improved, which is what planning time depends on. */
export interface CapacityTotals {
    readonly byDomain: Map<string, number>;
    total: number;
}

/**
 * Sums what a choice of VMs carries.
 *
 * @param segments - The segments
 * @param counts - VMs of each
 * @returns Units a second by domain and in all
 * @example
 * sumCoverage(segments, counts).total;
 */
export function sumCapacity(segments: readonly CapacityPool[], counts: VmCounts): CapacityTotals {
    const coverage: CapacityTotals = { byDomain: new Map(), total: 0 };
    segments.forEach((segment, index) => addVms(coverage, segment, counts[index] ?? 0));
    return coverage;
}

/**
 * Adds VMs to the sums, or takes them out.
 *
 * @param coverage - The sums; changed in place
 * @param segment - What the VMs are
 * @param count - How many; negative to take them out
 * @example
 * addUnits(coverage, segment, -1);
 */
export function addVms(coverage: CapacityTotals, segment: CapacityPool, count: number): void {
    const domain = segment.offer.failureDomain;
    coverage.byDomain.set(domain, (coverage.byDomain.get(domain) ?? 0) + count * segment.unitsPerVm);
    coverage.total += count * segment.unitsPerVm;
}

/**
 * Computes the units a second left after the loss of the domain that carries most.
 *
 * @param coverage - The sums
 * @returns Units a second
 * @example
 * computeUnitsAfterLoss(coverage) >= demand;
 */
export function computeUnitsAfterLoss(coverage: CapacityTotals): number {
    return coverage.total - Math.max(0, ...coverage.byDomain.values());
}
