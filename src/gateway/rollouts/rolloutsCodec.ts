/**
 * @module Encodes reports on moves of services to other versions, as lists of numbers.
 */
import { z } from "zod";
import type { RolloutReport, RolloutReports } from "../../decisions/relays/news";
import { EMPTY_COUNTS } from "../../decisions/versions/emptyCounts";
import { type CellCounts, LoadLevel, Measure, type MeasureCounts } from "../../decisions/versions/versionEvidence";
import { RolloutPhase } from "../../model/gateway";

/** Most services and most routes of a service that are decoded. */
const SERVICES_MAX = 64;
const CELLS_MAX = 64;

const COUNT = z.number().int().nonnegative();
/** Failed attempts, slow answers: trials and bad ones of each. */
const COUNTS = z.tuple([COUNT, COUNT, COUNT, COUNT]);
const CELL = z.tuple([z.string(), COUNTS, COUNTS]);
const REPORT = z.tuple([COUNT, z.enum(RolloutPhase), z.array(z.unknown())]);
const REPORTS = z.record(z.string(), z.unknown());

/** Reports as they are sent. */
export type RolloutLists = Record<string, z.input<typeof REPORT>>;

/**
 * Encodes reports.
 *
 * @param reports - The reports
 * @returns Lists, by service
 * @example
 * JSON.stringify(encodeRollouts(view.rollouts));
 */
export function encodeRollouts(reports: RolloutReports): RolloutLists {
    const entries = Object.entries(reports).map(
        ([service, { order, phase, cells }]): [string, RolloutLists[string]] => [
            service,
            [order, phase, cells.map(({ route, old, next }) => [route, listCounts(old), listCounts(next)])],
        ],
    );
    return Object.fromEntries(entries);
}

/**
 * Decodes reports. Reports and cells that are malformed or beyond the limits are left out.
 *
 * @param value - What was sent; anything
 * @returns The reports, by service
 * @example
 * decodeRollouts({ chat: [7, 0, []] })["chat"]?.order; //=> 7
 */
export function decodeRollouts(value: unknown): RolloutReports {
    const reports = REPORTS.safeParse(value);
    if (!reports.success) {
        return {};
    }
    const entries = Object.entries(reports.data).slice(0, SERVICES_MAX);
    return Object.fromEntries(
        entries.flatMap(([service, lists]): [string, RolloutReport][] => {
            const report = REPORT.safeParse(lists);
            if (!report.success) {
                return [];
            }
            const [order, phase, cells] = report.data;
            return [[service, { order, phase, cells: cells.slice(0, CELLS_MAX).flatMap(decodeCell) }]];
        }),
    );
}

function decodeCell(value: unknown): readonly CellCounts[] {
    const cell = CELL.safeParse(value);
    if (!cell.success) {
        return [];
    }
    const [route, old, next] = cell.data;
    return [{ route, loadLevel: LoadLevel.Low, old: buildCounts(old), next: buildCounts(next) }];
}

function listCounts(counts: MeasureCounts): z.input<typeof COUNTS> {
    const { [Measure.Failures]: failures, [Measure.FirstToken]: firstToken } = counts;
    return [failures.trials, failures.bad, firstToken.trials, firstToken.bad];
}

function buildCounts([trials, failed, timed, slow]: z.output<typeof COUNTS>): MeasureCounts {
    return {
        ...EMPTY_COUNTS,
        [Measure.Failures]: { trials, bad: failed },
        [Measure.FirstToken]: { trials: timed, bad: slow },
    };
}
