/**
 * @module Merges two reports of the same node.
 */
import { mergeCells } from "./_lib/mergeCounts";
import { buildCellKey } from "./buildCellKey";
import type { CellCounts, TrialCount } from "./versionEvidence";

/**
 * Merges two reports of the same node. Counts only grow, so the larger count is the newer one. The merge is
 * commutative, associative and idempotent, so an outdated report changes nothing.
 *
 * @param left - One report
 * @param right - Another report of the same node
 * @returns The newer counts of each cell
 * @example
 * mergeReports(older, newer);
 */
export function mergeReports(left: readonly CellCounts[], right: readonly CellCounts[]): readonly CellCounts[] {
    const merged = new Map(left.map(cell => [buildCellKey(cell), cell]));
    for (const cell of right) {
        const known = merged.get(buildCellKey(cell));
        merged.set(buildCellKey(cell), known === undefined ? cell : mergeCells(known, cell, pickLarger));
    }
    return [...merged.values()].sort((one, other) => (buildCellKey(one) < buildCellKey(other) ? -1 : 1));
}

function pickLarger(left: TrialCount, right: TrialCount): TrialCount {
    return { trials: Math.max(left.trials, right.trials), bad: Math.max(left.bad, right.bad) };
}
