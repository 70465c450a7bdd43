/**
 * @module Demand as the holder sees it: recent peaks in memory, the week and month in the table.
 */
import { RECENT_DEMAND_MS } from "../../../decisions/fleet/constants";
import { type DemandHistory, EMPTY_DEMAND_HISTORY } from "../../../decisions/fleet/demandHistory";
import { type DemandEstimate, estimateDemand } from "../../../decisions/fleet/estimateDemand";
import { recordDemandSample } from "../../../decisions/fleet/recordDemandSample";
import { DEMAND_BUCKET_MS, MINIMUM_UNITS_PER_SECOND } from "../constants";

/** Records demand. */
export interface DemandRecorder {
    /** Takes over what an earlier holder kept. */
    loadHistory(serviceName: string, history: DemandHistory): void;
    /** Records the demand of a service; `isKnown` false keeps a figure that stands in for demand out of the history. */
    record(serviceName: string, unitsPerSecond: number, nowWallMs: number, isKnown?: boolean): void;
    estimate(serviceName: string, nowWallMs: number): DemandEstimate;
    findRecentPeak(serviceName: string, nowWallMs: number): number;
    hasRecentDemand(serviceName: string): boolean;
    /** Histories that changed since they were kept last. */
    listUnsavedHistories(): readonly (readonly [string, DemandHistory])[];
    markSaved(serviceName: string): void;
}

interface ServiceDemandRecord {
    history: DemandHistory;
    keptWeekHours: readonly number[];
    /** Peaks by span, oldest first. */
    recent: { readonly span: number; peak: number }[];
}

/**
 * Creates a recorder without any demand.
 *
 * @returns The recorder
 * @example
 * recorder.record("assistant", 320, clock.readWallMs());
 */
export function createDemandRecorder(): DemandRecorder {
    const records = new Map<string, ServiceDemandRecord>();
    const ensureRecord = (serviceName: string): ServiceDemandRecord => {
        const known = records.get(serviceName);
        if (known !== undefined) {
            return known;
        }
        const history = EMPTY_DEMAND_HISTORY;
        const created = { history, keptWeekHours: history.weekHours, recent: [] };
        records.set(serviceName, created);
        return created;
    };
    const findRecentPeak = (serviceName: string, nowWallMs: number): number => {
        const oldest = Math.floor((nowWallMs - RECENT_DEMAND_MS) / DEMAND_BUCKET_MS);
        const recent = ensureRecord(serviceName).recent.filter(({ span }) => span >= oldest);
        return Math.max(MINIMUM_UNITS_PER_SECOND, ...recent.map(({ peak }) => peak));
    };
    return {
        loadHistory: (serviceName, history) => {
            const record = ensureRecord(serviceName);
            record.history = history;
            record.keptWeekHours = history.weekHours;
        },
        record: (serviceName, unitsPerSecond, nowWallMs, isKnown = true) => {
            const record = ensureRecord(serviceName);
            if (isKnown) {
                record.history = recordDemandSample(record.history, Math.round(unitsPerSecond), nowWallMs);
            }
            const span = Math.floor(nowWallMs / DEMAND_BUCKET_MS);
            const newest = record.recent.at(-1);
            if (newest?.span === span) {
                newest.peak = Math.max(newest.peak, unitsPerSecond);
                return;
            }
            const oldest = Math.floor((nowWallMs - RECENT_DEMAND_MS) / DEMAND_BUCKET_MS);
            record.recent = [...record.recent.filter(each => each.span >= oldest), { span, peak: unitsPerSecond }];
        },
        estimate: (serviceName, nowWallMs) =>
            estimateDemand(ensureRecord(serviceName).history, findRecentPeak(serviceName, nowWallMs), nowWallMs),
        findRecentPeak,
        hasRecentDemand: serviceName => records.has(serviceName) && ensureRecord(serviceName).recent.length > 0,
        listUnsavedHistories: () =>
            [...records].flatMap(([name, { history, keptWeekHours }]) =>
                history.weekHours === keptWeekHours ? [] : [[name, history] as const],
            ),
        markSaved: serviceName => {
            const record = ensureRecord(serviceName);
            record.keptWeekHours = record.history.weekHours;
        },
    };
}
