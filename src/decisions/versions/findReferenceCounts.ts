/**
 * @module Finds the old version's counts that a new version is compared with.
 */
import { REFERENCE_OBSERVATIONS } from "./constants";
import { type CellCounts, Measure, type TrialCount } from "./versionEvidence";

/**
 * Finds the reference of a cell: the old version's counts in that cell, or their sum over all cells if that cell has
 * too few.
 *
 * @param measure - The measure to compare
 * @param cell - The cell
 * @param cells - All cells, including this one
 * @returns The counts, or `undefined` if the old version has too few observations for any comparison yet
 * @example
 * const reference = findReferenceCounts(Measure.Failures, cell, cells);
 */
export function findReferenceCounts(
    measure: Measure,
    cell: CellCounts,
    cells: readonly CellCounts[],
): TrialCount | undefined {
    const cellAttempts = cell.old[Measure.Failures];
    if (cellAttempts.trials >= REFERENCE_OBSERVATIONS) {
        return cell.old[measure];
    }
    const totalAttempts = cells.reduce((sum, other) => sum + other.old[Measure.Failures].trials, 0);
    if (totalAttempts < REFERENCE_OBSERVATIONS) {
        return undefined;
    }
    return cells.reduce(
        (sum, other) => ({ trials: sum.trials + other.old[measure].trials, bad: sum.bad + other.old[measure].bad }),
        { trials: 0, bad: 0 },
    );
}
