/**
 * @module Converts times to the hour-of-week and day-of-month slots of the demand history.
 */

const HOUR_MS = 3_600_000;
const DAY_HOURS = 24;
const WEEK_HOUR_COUNT = 168;
/** Hour of the week at the epoch, Thursday 00:00 UTC. */
const EPOCH_WEEK_HOUR = 72;
/** Days of a month counted from its start; later ones are counted from its end. */
const DAYS_FROM_START = 15;

/**
 * Finds the hour of the week, from Monday 00:00 UTC.
 *
 * @param hour - Hours since the epoch
 * @returns 0 to 167
 * @example
 * findWeekHour(0); //=> 72
 */
export function findWeekHour(hour: number): number {
    return (hour + EPOCH_WEEK_HOUR) % WEEK_HOUR_COUNT;
}

/**
 * Finds the day slot of the month: the first 15 days are counted from the start, the others from the end.
 *
 * @param hour - Hours since the epoch
 * @returns 0 to 14 for the 1st to the 15th, 15 for the last day, 16 for the one before it, and so on
 * @example
 * findMonthDay(0); //=> 0
 */
export function findMonthDay(hour: number): number {
    const date = new Date(hour * HOUR_MS);
    const day = date.getUTCDate();
    const lastDay = new Date(Date.UTC(date.getUTCFullYear(), date.getUTCMonth() + 1, 0)).getUTCDate();
    return day <= DAYS_FROM_START ? day - 1 : DAYS_FROM_START + lastDay - day;
}

/**
 * Lists the hours that a time span overlaps.
 *
 * @param fromWallMs - Start of the span, in epoch milliseconds
 * @param toWallMs - End of the span, in epoch milliseconds
 * @returns Hours since the epoch
 * @example
 * listHours(0, 3_600_000); //=> [0, 1]
 */
export function listHours(fromWallMs: number, toWallMs: number): readonly number[] {
    const first = Math.floor(fromWallMs / HOUR_MS);
    const last = Math.floor(toWallMs / HOUR_MS);
    return Array.from({ length: last - first + 1 }, (_unused, index) => first + index);
}

/**
 * Lists the hours of the week on the same day as an hour.
 *
 * @param hour - Hours since the epoch
 * @returns 24 hours of the week, in ascending order
 * @example
 * listDayHours(0).length; //=> 24
 */
export function listDayHours(hour: number): readonly number[] {
    const weekHour = findWeekHour(hour);
    const first = weekHour - (weekHour % DAY_HOURS);
    return Array.from({ length: DAY_HOURS }, (_unused, index) => first + index);
}
