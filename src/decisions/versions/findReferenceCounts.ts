/**
 * @module The old version's counts that a new version is held against.
 */
import { REFERENCE_OBSERVATIONS } from "./constants";
import { type CellCounts, Measure, type TrialCount } from "./versionEvidence";

/**
 * Finds the reference of a cell: the old version's counts there, or over all cells where it has hardly been seen there.
 *
 * @param measure - What is compared
 * @param cell - The cell
 * @param cells - All cells, this one included
 * @returns The counts, or `undefined` while the old version has hardly been seen at all: nothing can be compared yet
 * @example
 * const reference = findReference(Measure.Failures, cell, cells);
 */
export function findReferenceCounts(
    measure: Measure,
    cell: CellCounts,
    cells: readonly CellCounts[],
): TrialCount | undefined {
    const here = cell.old[Measure.Failures];
    if (here.trials >= REFERENCE_OBSERVATIONS) {
        return cell.old[measure];
    }
    const attempts = cells.reduce((sum, other) => sum + other.old[Measure.Failures].trials, 0);
    if (attempts < REFERENCE_OBSERVATIONS) {
        return undefined;
    }
    return cells.reduce(
        (sum, other) => ({ trials: sum.trials + other.old[measure].trials, bad: sum.bad + other.old[measure].bad }),
        { trials: 0, bad: 0 },
    );
}
