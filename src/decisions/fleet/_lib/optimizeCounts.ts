/**
 * @module Making a choice of VMs cheaper step by step.
 */
import { MAXIMUM_IMPROVEMENT_ROUNDS, MAXIMUM_REPLACEMENT_CANDIDATES } from "../constants";
import { addVms, computeUnitsAfterLoss, type CapacityTotals, sumCapacity } from "./capacityTotals";
import type { VmCounts, CapacityPool } from "./capacityPool";

/** The part of a demand that may be missing through rounding of floating point sums. */
const ROUNDING = 1e-9;

interface Exchange {
    readonly from: number;
    /** Absent where a VM is removed and none takes its place. */
    readonly to: number | undefined;
    readonly saving: number;
}

/**
 * Adds VMs until the demand is covered, and then removes or exchanges single VMs while that makes the choice cheaper.
 *
 * @param segments - What can be used, cheapest per unit first
 * @param start - A first choice
 * @param demand - Units a second to carry after the loss of any one domain
 * @returns The improved choice; it falls short only if no more can be added
 * @example
 * trimCounts(segments, chooseFirstCounts(segments, 900, 450), 900);
 */
export function optimizeCounts(segments: readonly CapacityPool[], start: VmCounts, demand: number): VmCounts {
    const counts = [...start];
    const coverage = sumCapacity(segments, counts);
    const needed = demand * (1 - ROUNDING);
    addMissing(segments, counts, coverage, needed);
    for (let round = 0; round < MAXIMUM_IMPROVEMENT_ROUNDS; round++) {
        const exchange = findExchange(segments, counts, coverage, needed);
        if (exchange === undefined) {
            break;
        }
        applyExchange(segments, counts, coverage, exchange, 1);
    }
    return counts;
}

function addMissing(
    segments: readonly CapacityPool[],
    counts: VmCounts,
    coverage: CapacityTotals,
    needed: number,
): void {
    for (let missing = needed - computeUnitsAfterLoss(coverage); missing > 0;) {
        const index = findAddition(segments, counts, coverage, missing);
        const segment = segments[index];
        if (segment === undefined) {
            return;
        }
        counts[index] = (counts[index] ?? 0) + 1;
        addVms(coverage, segment, 1);
        missing = needed - computeUnitsAfterLoss(coverage);
    }
}

/** The VM that adds most useful units for its price; the fullest domain gains nothing from more. */
function findAddition(
    segments: readonly CapacityPool[],
    counts: VmCounts,
    coverage: CapacityTotals,
    missing: number,
): number {
    const before = computeUnitsAfterLoss(coverage);
    let best = -1;
    let bestRate = Infinity;
    for (const [index, segment] of segments.entries()) {
        if ((counts[index] ?? 0) >= segment.limit) {
            continue;
        }
        addVms(coverage, segment, 1);
        const gained = Math.min(missing, computeUnitsAfterLoss(coverage) - before);
        addVms(coverage, segment, -1);
        const rate = gained > 0 ? segment.comparisonPrice / gained : Infinity;
        if (rate < bestRate) {
            [best, bestRate] = [index, rate];
        }
    }
    return best;
}

function findExchange(
    segments: readonly CapacityPool[],
    counts: VmCounts,
    coverage: CapacityTotals,
    needed: number,
): Exchange | undefined {
    let best: Exchange | undefined;
    const replacements = listReplacements(segments, counts);
    for (const [from, segment] of segments.entries()) {
        if ((counts[from] ?? 0) === 0) {
            continue;
        }
        const lowest = best?.saving ?? 0;
        if (segment.comparisonPrice > lowest && isCovered(segments, coverage, needed, from, undefined)) {
            best = { from, to: undefined, saving: segment.comparisonPrice };
            continue;
        }
        for (const to of replacements) {
            const saving = segment.comparisonPrice - (segments[to]?.comparisonPrice ?? Infinity);
            const isBetter = saving > (best?.saving ?? 0) + ROUNDING && to !== from;
            if (isBetter && isCovered(segments, coverage, needed, from, to)) {
                best = { from, to, saving };
            }
        }
    }
    return best;
}

function listReplacements(segments: readonly CapacityPool[], counts: VmCounts): readonly number[] {
    const free = segments.flatMap((segment, index) => ((counts[index] ?? 0) < segment.limit ? [index] : []));
    return free.slice(0, MAXIMUM_REPLACEMENT_CANDIDATES);
}

function isCovered(
    segments: readonly CapacityPool[],
    coverage: CapacityTotals,
    needed: number,
    from: number,
    to: number | undefined,
): boolean {
    const exchange = { from, to, saving: 0 };
    applyExchange(segments, undefined, coverage, exchange, 1);
    const covered = computeUnitsAfterLoss(coverage) >= needed;
    applyExchange(segments, undefined, coverage, exchange, -1);
    return covered;
}

function applyExchange(
    segments: readonly CapacityPool[],
    counts: VmCounts | undefined,
    coverage: CapacityTotals,
    exchange: Exchange,
    direction: 1 | -1,
): void {
    const changes = [
        { index: exchange.from, count: -direction },
        ...(exchange.to === undefined ? [] : [{ index: exchange.to, count: direction }]),
    ];
    for (const { index, count } of changes) {
        const segment = segments[index];
        if (segment === undefined) {
            continue;
        }
        addVms(coverage, segment, count);
        if (counts !== undefined) {
            counts[index] = (counts[index] ?? 0) + count;
        }
    }
}
