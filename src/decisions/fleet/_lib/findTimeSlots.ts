/**
 * @module Places of an instant in the recorded week and month.
 */

const HOUR_MS = 3_600_000;
const DAY_HOURS = 24;
const WEEK_HOUR_COUNT = 168;
/** The epoch began on a Thursday. */
const EPOCH_WEEK_HOUR = 72;
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
 * Finds the day of the month: the first 15 days by their number, the others by the days left in the month.
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
 * Finds the hours that a span touches.
 *
 * @param fromWallMs - Start of the span
 * @param toWallMs - End of the span
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
 * Lists the hours of the week that belong to the same day as an hour.
 *
 * @param hour - Hours since the epoch
 * @returns 24 hours of the week
 * @example
 * listDayHours(0).length; //=> 24
 */
export function listDayHours(hour: number): readonly number[] {
    const weekHour = findWeekHour(hour);
    const first = weekHour - (weekHour % DAY_HOURS);
    return Array.from({ length: DAY_HOURS }, (_unused, index) => first + index);
}
