/**
 * @module Merges trial counts measure by measure.
 */
import { type CellCounts, Measure, type MeasureCounts, type TrialCount } from "../versionEvidence";

/**
 * Merges the counts of two versions, nodes or times measure by measure.
 *
 * @param left - The first counts
 * @param right - The second counts
 * @param merge - Merges two counts of one measure
 * @returns The combined counts
 * @example
 * mergeCounts(now, before, (one, other) => ({ trials: one.trials - other.trials, bad: one.bad - other.bad }));
 */
export function mergeCounts(
    left: MeasureCounts,
    right: MeasureCounts,
    merge: (left: TrialCount, right: TrialCount) => TrialCount,
): MeasureCounts {
    return {
        [Measure.Failures]: merge(left[Measure.Failures], right[Measure.Failures]),
        [Measure.FirstToken]: merge(left[Measure.FirstToken], right[Measure.FirstToken]),
        [Measure.TokenGap]: merge(left[Measure.TokenGap], right[Measure.TokenGap]),
    };
}

/**
 * Merges two sets of counts of the same cell.
 *
 * @param left - The first counts of the cell
 * @param right - The second counts of the cell
 * @param merge - Merges two counts of one measure
 * @returns The cell with combined counts
 * @example
 * mergeCells(sum, cell, addCounts);
 */
export function mergeCells(
    left: CellCounts,
    right: CellCounts,
    merge: (left: TrialCount, right: TrialCount) => TrialCount,
): CellCounts {
    return {
        ...left,
        old: mergeCounts(left.old, right.old, merge),
        next: mergeCounts(left.next, right.next, merge),
    };
}
