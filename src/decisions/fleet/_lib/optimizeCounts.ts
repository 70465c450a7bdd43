/**
 * @module Makes a set of VMs cheaper by local search.
 */
import { MAXIMUM_IMPROVEMENT_ROUNDS, MAXIMUM_REPLACEMENT_CANDIDATES } from "../constants";
import { addVms, computeUnitsAfterLoss, type CapacityTotals, sumCapacity } from "./capacityTotals";
import type { VmCounts, CapacityPool } from "./capacityPool";

/** Share of the demand, or saving, that is ignored because floating-point sums round. */
const ROUNDING_TOLERANCE = 1e-9;

/** Replaces a VM of one pool by a VM of another. */
interface Swap {
    /** Index of the pool that loses a VM. */
    readonly from: number;
    /** Index of the pool that gains a VM; absent if the VM is only removed. */
    readonly to: number | undefined;
    /** Difference of the comparison prices. */
    readonly saving: number;
}

/**
 * Adds VMs until the demand is covered, and then removes or swaps single VMs as long as that lowers the price.
 *
 * @param pools - The usable pools, cheapest per unit first
 * @param start - The initial counts
 * @param demand - Units per second to serve after the loss of any one failure domain
 * @returns The improved counts; they fall short of the demand only if no VM that helps can be added
 * @example
 * optimizeCounts(pools, chooseInitialCounts(pools, 900, 450), 900);
 */
export function optimizeCounts(pools: readonly CapacityPool[], start: VmCounts, demand: number): VmCounts {
    const counts = [...start];
    const totals = sumCapacity(pools, counts);
    const neededUnits = demand * (1 - ROUNDING_TOLERANCE);
    addMissingVms(pools, counts, totals, neededUnits);
    for (let round = 0; round < MAXIMUM_IMPROVEMENT_ROUNDS; round++) {
        const swap = findBestSwap(pools, counts, totals, neededUnits);
        if (swap === undefined) {
            break;
        }
        applySwap(pools, counts, totals, swap, 1);
    }
    return counts;
}

function addMissingVms(
    pools: readonly CapacityPool[],
    counts: VmCounts,
    totals: CapacityTotals,
    neededUnits: number,
): void {
    for (let missing = neededUnits - computeUnitsAfterLoss(totals); missing > 0;) {
        const index = findBestAddition(pools, counts, totals, missing);
        const pool = pools[index];
        if (pool === undefined) {
            return;
        }
        counts[index] = (counts[index] ?? 0) + 1;
        addVms(totals, pool, 1);
        missing = neededUnits - computeUnitsAfterLoss(totals);
    }
}

/**
 * Finds the pool whose VM adds the most useful units for its price. A VM in the domain with the most capacity adds
 * none, because the loss of that domain is the case to cover.
 */
function findBestAddition(
    pools: readonly CapacityPool[],
    counts: VmCounts,
    totals: CapacityTotals,
    missing: number,
): number {
    const before = computeUnitsAfterLoss(totals);
    let best = -1;
    let bestPricePerUnit = Infinity;
    for (const [index, pool] of pools.entries()) {
        if ((counts[index] ?? 0) >= pool.limit) {
            continue;
        }
        addVms(totals, pool, 1);
        const gainedUnits = Math.min(missing, computeUnitsAfterLoss(totals) - before);
        addVms(totals, pool, -1);
        const pricePerUnit = gainedUnits > 0 ? pool.comparisonPrice / gainedUnits : Infinity;
        if (pricePerUnit < bestPricePerUnit) {
            [best, bestPricePerUnit] = [index, pricePerUnit];
        }
    }
    return best;
}

function findBestSwap(
    pools: readonly CapacityPool[],
    counts: VmCounts,
    totals: CapacityTotals,
    neededUnits: number,
): Swap | undefined {
    let best: Swap | undefined;
    const replacements = listReplacements(pools, counts);
    for (const [from, pool] of pools.entries()) {
        if ((counts[from] ?? 0) === 0) {
            continue;
        }
        const bestSaving = best?.saving ?? 0;
        if (pool.comparisonPrice > bestSaving && isCoveredAfterSwap(pools, totals, neededUnits, from, undefined)) {
            best = { from, to: undefined, saving: pool.comparisonPrice };
            continue;
        }
        for (const to of replacements) {
            const saving = pool.comparisonPrice - (pools[to]?.comparisonPrice ?? Infinity);
            const isBetter = saving > (best?.saving ?? 0) + ROUNDING_TOLERANCE && to !== from;
            if (isBetter && isCoveredAfterSwap(pools, totals, neededUnits, from, to)) {
                best = { from, to, saving };
            }
        }
    }
    return best;
}

function listReplacements(pools: readonly CapacityPool[], counts: VmCounts): readonly number[] {
    const belowLimit = pools.flatMap((pool, index) => ((counts[index] ?? 0) < pool.limit ? [index] : []));
    return belowLimit.slice(0, MAXIMUM_REPLACEMENT_CANDIDATES);
}

function isCoveredAfterSwap(
    pools: readonly CapacityPool[],
    totals: CapacityTotals,
    neededUnits: number,
    from: number,
    to: number | undefined,
): boolean {
    const swap = { from, to, saving: 0 };
    applySwap(pools, undefined, totals, swap, 1);
    const isCovered = computeUnitsAfterLoss(totals) >= neededUnits;
    applySwap(pools, undefined, totals, swap, -1);
    return isCovered;
}

function applySwap(
    pools: readonly CapacityPool[],
    counts: VmCounts | undefined,
    totals: CapacityTotals,
    swap: Swap,
    direction: 1 | -1,
): void {
    const changes = [
        { index: swap.from, count: -direction },
        ...(swap.to === undefined ? [] : [{ index: swap.to, count: direction }]),
    ];
    for (const { index, count } of changes) {
        const pool = pools[index];
        if (pool === undefined) {
            continue;
        }
        addVms(totals, pool, count);
        if (counts !== undefined) {
            counts[index] = (counts[index] ?? 0) + count;
        }
    }
}
