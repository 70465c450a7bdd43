/**
 * @module The demand for a service as it was seen over weeks and months.
 */

/** Hours of a week, from Monday 00:00 UTC. */
export const WEEK_HOURS = 168;

/** Days of a month: the 1st to the 15th, and then by the days that are left, so that the last day is always the same. */
export const MONTH_DAYS = 31;

/** Peaks in units a second, 0 where nothing was seen. Small enough to be one row of the table for each service. */
export interface DemandHistory {
    /** Peak of each hour of the week; the newest week counts most. */
    readonly weekHours: readonly number[];
    /** Peak of each day of the month. */
    readonly monthDays: readonly number[];
    /** Peak of the hour that is under way. */
    readonly openPeak: number;
    /** The hour that is under way, in hours since the epoch. */
    readonly openHour: number;
}

/** The history of a service of which nothing was seen yet. */
export const EMPTY_DEMAND_HISTORY: DemandHistory = {
    weekHours: Array.from({ length: WEEK_HOURS }, () => 0),
    monthDays: Array.from({ length: MONTH_DAYS }, () => 0),
    openPeak: 0,
    openHour: 0,
};
