/**
 * @module Making a choice of VMs cheaper step by step.
 */
import { MOST_IMPROVEMENTS, MOST_REPLACEMENTS } from "../constants";
import { addUnits, computeUnitsAfterLoss, type Coverage, sumCoverage } from "./coverage";
import type { Counts, Segment } from "./segment";

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
export function trimCounts(segments: readonly Segment[], start: Counts, demand: number): Counts {
    const counts = [...start];
    const coverage = sumCoverage(segments, counts);
    const needed = demand * (1 - ROUNDING);
    addMissing(segments, counts, coverage, needed);
    for (let round = 0; round < MOST_IMPROVEMENTS; round++) {
        const exchange = findExchange(segments, counts, coverage, needed);
        if (exchange === undefined) {
            break;
        }
        applyExchange(segments, counts, coverage, exchange, 1);
    }
    return counts;
}

function addMissing(segments: readonly Segment[], counts: Counts, coverage: Coverage, needed: number): void {
    for (let missing = needed - computeUnitsAfterLoss(coverage); missing > 0;) {
        const index = findAddition(segments, counts, coverage, missing);
        const segment = segments[index];
        if (segment === undefined) {
            return;
        }
        counts[index] = (counts[index] ?? 0) + 1;
        addUnits(coverage, segment, 1);
        missing = needed - computeUnitsAfterLoss(coverage);
    }
}

/** The VM that adds most useful units for its price; the fullest domain gains nothing from more. */
function findAddition(segments: readonly Segment[], counts: Counts, coverage: Coverage, missing: number): number {
    const before = computeUnitsAfterLoss(coverage);
    let best = -1;
    let bestRate = Infinity;
    for (const [index, segment] of segments.entries()) {
        if ((counts[index] ?? 0) >= segment.limit) {
            continue;
        }
        addUnits(coverage, segment, 1);
        const gained = Math.min(missing, computeUnitsAfterLoss(coverage) - before);
        addUnits(coverage, segment, -1);
        const rate = gained > 0 ? segment.comparedPrice / gained : Infinity;
        if (rate < bestRate) {
            [best, bestRate] = [index, rate];
        }
    }
    return best;
}

function findExchange(
    segments: readonly Segment[],
    counts: Counts,
    coverage: Coverage,
    needed: number,
): Exchange | undefined {
    let best: Exchange | undefined;
    const replacements = listReplacements(segments, counts);
    for (const [from, segment] of segments.entries()) {
        if ((counts[from] ?? 0) === 0) {
            continue;
        }
        const lowest = best?.saving ?? 0;
        if (segment.comparedPrice > lowest && isCovered(segments, coverage, needed, from, undefined)) {
            best = { from, to: undefined, saving: segment.comparedPrice };
            continue;
        }
        for (const to of replacements) {
            const saving = segment.comparedPrice - (segments[to]?.comparedPrice ?? Infinity);
            const isBetter = saving > (best?.saving ?? 0) + ROUNDING && to !== from;
            if (isBetter && isCovered(segments, coverage, needed, from, to)) {
                best = { from, to, saving };
            }
        }
    }
    return best;
}

function listReplacements(segments: readonly Segment[], counts: Counts): readonly number[] {
    const free = segments.flatMap((segment, index) => ((counts[index] ?? 0) < segment.limit ? [index] : []));
    return free.slice(0, MOST_REPLACEMENTS);
}

function isCovered(
    segments: readonly Segment[],
    coverage: Coverage,
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
    segments: readonly Segment[],
    counts: Counts | undefined,
    coverage: Coverage,
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
        addUnits(coverage, segment, count);
        if (counts !== undefined) {
            counts[index] = (counts[index] ?? 0) + count;
        }
    }
}
