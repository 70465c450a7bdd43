/**
 * @module Recorded demand for a service by hour of the week and day of the month.
 */

/** Hours of a week, from Monday 00:00 UTC. */
export const WEEK_HOURS = 168;

/** Day slots of a month. Days after the 15th are counted from the end, so that the last day has a fixed slot. */
export const MONTH_DAYS = 31;

/** Demand peaks in units per second, 0 where nothing was recorded. One table row per service holds them. */
export interface DemandHistory {
    /** Peak of each hour of the week; lower peaks of newer weeks are averaged in. */
    readonly weekHours: readonly number[];
    /** Peak of each day slot of the month. */
    readonly monthDays: readonly number[];
    /** Peak of the current hour so far. */
    readonly openPeak: number;
    /** The current hour, in hours since the epoch; 0 before the first sample. */
    readonly openHour: number;
}

/** The history of a service without any samples. */
export const EMPTY_DEMAND_HISTORY: DemandHistory = {
    weekHours: Array.from({ length: WEEK_HOURS }, () => 0),
    monthDays: Array.from({ length: MONTH_DAYS }, () => 0),
    openPeak: 0,
    openHour: 0,
};
