/**
 * @module Records the demand of services: recent peaks in memory, and a history by hour of week and day of month.
 */
import { RECENT_DEMAND_WINDOW_MS } from "../../../decisions/fleet/constants";
import { type DemandHistory, EMPTY_DEMAND_HISTORY } from "../../../decisions/fleet/demandHistory";
import { type DemandEstimate, estimateDemand } from "../../../decisions/fleet/estimateDemand";
import { recordDemandSample } from "../../../decisions/fleet/recordDemandSample";
import { DEMAND_BUCKET_MS, MINIMUM_UNITS_PER_SECOND } from "../constants";

/** Records the demand of services, in units a second. */
export interface DemandRecorder {
    /** Restores the history that an earlier lease holder stored. */
    loadHistory(serviceName: string, history: DemandHistory): void;
    /**
     * Records the demand of a service. If `isMeasured` is false, the value stands in for an unknown demand: it counts
     * as recent demand, but is not added to the history.
     */
    record(serviceName: string, unitsPerSecond: number, nowWallMs: number, isMeasured?: boolean): void;
    /** Estimates the demand that the fleet must be prepared for. */
    estimate(serviceName: string, nowWallMs: number): DemandEstimate;
    /** Returns the highest recent demand, at least `MINIMUM_UNITS_PER_SECOND`. */
    findRecentPeak(serviceName: string, nowWallMs: number): number;
    /** Returns true if any demand of the service was recorded since the recorder was created. */
    hasRecentDemand(serviceName: string): boolean;
    /** Lists the histories that changed since they were last stored. */
    listUnsavedHistories(): readonly (readonly [string, DemandHistory])[];
    /** Marks the history of a service as stored. */
    markSaved(serviceName: string): void;
}

interface ServiceDemandRecord {
    history: DemandHistory;
    /** The `weekHours` of the history when it was last stored; a newer history has another array. */
    savedWeekHours: readonly number[];
    /** Peak demand by bucket of `DEMAND_BUCKET_MS`, oldest first. */
    recentPeaks: { readonly bucket: number; peak: number }[];
}

/**
 * Creates a recorder without recorded demand.
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
        const created = { history, savedWeekHours: history.weekHours, recentPeaks: [] };
        records.set(serviceName, created);
        return created;
    };
    const findRecentPeak = (serviceName: string, nowWallMs: number): number => {
        const oldestBucket = Math.floor((nowWallMs - RECENT_DEMAND_WINDOW_MS) / DEMAND_BUCKET_MS);
        const recentPeaks = ensureRecord(serviceName).recentPeaks.filter(({ bucket }) => bucket >= oldestBucket);
        return Math.max(MINIMUM_UNITS_PER_SECOND, ...recentPeaks.map(({ peak }) => peak));
    };
    return {
        loadHistory: (serviceName, history) => {
            const record = ensureRecord(serviceName);
            record.history = history;
            record.savedWeekHours = history.weekHours;
        },
        record: (serviceName, unitsPerSecond, nowWallMs, isMeasured = true) => {
            const record = ensureRecord(serviceName);
            if (isMeasured) {
                record.history = recordDemandSample(record.history, Math.round(unitsPerSecond), nowWallMs);
            }
            const bucket = Math.floor(nowWallMs / DEMAND_BUCKET_MS);
            const newest = record.recentPeaks.at(-1);
            if (newest?.bucket === bucket) {
                newest.peak = Math.max(newest.peak, unitsPerSecond);
                return;
            }
            const oldestBucket = Math.floor((nowWallMs - RECENT_DEMAND_WINDOW_MS) / DEMAND_BUCKET_MS);
            record.recentPeaks = [
                ...record.recentPeaks.filter(recent => recent.bucket >= oldestBucket),
                { bucket, peak: unitsPerSecond },
            ];
        },
        estimate: (serviceName, nowWallMs) =>
            estimateDemand(ensureRecord(serviceName).history, findRecentPeak(serviceName, nowWallMs), nowWallMs),
        findRecentPeak,
        hasRecentDemand: serviceName => records.has(serviceName) && ensureRecord(serviceName).recentPeaks.length > 0,
        listUnsavedHistories: () =>
            [...records].flatMap(([name, { history, savedWeekHours }]) =>
                history.weekHours === savedWeekHours ? [] : [[name, history] as const],
            ),
        markSaved: serviceName => {
            const record = ensureRecord(serviceName);
            record.savedWeekHours = record.history.weekHours;
        },
    };
}
