/**
 * @module Merges what several nodes know of ordered moves of services to other versions.
 */
import { mergeReports } from "../versions/mergeReports";
import { sumReports } from "../versions/sumReports";
import type { CellCounts } from "../versions/versionEvidence";
import type { RolloutReport, RolloutReports } from "./news";

/** Merges the attempts that two groups of nodes counted. */
export type MergeCells = (left: readonly CellCounts[], right: readonly CellCounts[]) => readonly CellCounts[];

/** Adds the counts of distinct nodes. */
export const sumCells: MergeCells = (left, right) => [...sumReports([left, right]).values()];

/** Takes the greater counts, of nodes that may be the same. */
export const maximizeCells: MergeCells = (left, right) => mergeReports(left, right);

/**
 * Merges reports. Only the newest order of a service counts, and the phase that has advanced furthest.
 *
 * @param list - The reports of several nodes or groups of nodes
 * @param mergeCells - `sumCells` if those are distinct, `maximizeCells` if they may be the same nodes
 * @returns The merged reports
 * @example
 * mergeRollouts([reports.a.rollouts, reports.b.rollouts], sumCells)["assistant"]?.phase;
 */
export function mergeRollouts(list: readonly RolloutReports[], mergeCells: MergeCells): RolloutReports {
    const merged: Record<string, RolloutReport> = {};
    for (const [service, report] of list.flatMap(reports => Object.entries(reports))) {
        const known = merged[service];
        if (known === undefined || known.order < report.order) {
            merged[service] = report;
        } else if (known.order === report.order) {
            merged[service] = {
                order: known.order,
                phase: Math.max(known.phase, report.phase),
                cells: mergeCells(known.cells, report.cells),
            };
        }
    }
    return merged;
}
