/**
 * @module Sums the reports of several nodes.
 */
import { mergeCells } from "./_lib/mergeCounts";
import { buildCellKey } from "./buildCellKey";
import { EMPTY_COUNTS } from "./emptyCounts";
import type { CellCounts, TrialCount } from "./versionEvidence";

/**
 * Sums the reports of different nodes, cell by cell.
 *
 * @param reports - One report per node
 * @returns Sums by cell key
 * @example
 * sumReports([ownCells, ...evidence.peerCounts.values()]).get("low chat");
 */
export function sumReports(reports: Iterable<readonly CellCounts[]>): ReadonlyMap<string, CellCounts> {
    const sums = new Map<string, CellCounts>();
    for (const report of reports) {
        for (const cell of report) {
            const key = buildCellKey(cell);
            const sum = sums.get(key) ?? { ...cell, old: EMPTY_COUNTS, next: EMPTY_COUNTS };
            sums.set(key, mergeCells(sum, cell, addCounts));
        }
    }
    return sums;
}

function addCounts(left: TrialCount, right: TrialCount): TrialCount {
    return { trials: left.trials + right.trials, bad: left.bad + right.bad };
}
