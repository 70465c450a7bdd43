/**
 * @module The pace of an endpoint: how long work takes on its host, by what it reports in its answers.
 */

/** The pace at which work takes as long as usual. */
export const USUAL_PACE = 100;

/**
 * Half-life of a reported pace, which gives way to the average of the endpoint, and of that average, which gives way to
 * the usual pace. The pace changes many times a second, so a report says little after a tenth of a second; the average
 * tells slow hosts from fast ones for longer.
 */
const REPORT_HALF_LIFE_MS = 80;
const AVERAGE_HALF_LIFE_MS = 10_000;
/** Time over which reports are averaged, and the least weight of one report. */
const AVERAGING_HALF_LIFE_MS = 1_500;
const REPORT_WEIGHT_MIN = 0.05;
/** Weight of the first report of an endpoint in its average, which is the usual pace before it. */
const FIRST_REPORT_WEIGHT = 0.5;

/** What is known of the pace of an endpoint. */
export interface EndpointPace {
    /** The last report and its monotonic time. */
    readonly reported: number;
    readonly atMs: number;
    /** Average of the reports. */
    readonly average: number;
}

/**
 * Updates what is known of the pace of an endpoint by a report.
 *
 * @param before - What was known; `undefined` before the first report
 * @param reported - The reported pace
 * @param atMs - Monotonic time of the report
 * @returns What is known then; a report that is older than the last one changes nothing
 * @example
 * record.pace = updatePace(record.pace, load.pace, nowMs);
 */
export function updatePace(before: EndpointPace | undefined, reported: number, atMs: number): EndpointPace {
    if (before === undefined) {
        return { reported, atMs, average: USUAL_PACE + FIRST_REPORT_WEIGHT * (reported - USUAL_PACE) };
    }
    if (atMs < before.atMs) {
        return before;
    }
    const average = computeAverage(before, atMs);
    const weight = Math.max(REPORT_WEIGHT_MIN, 1 - 0.5 ** ((atMs - before.atMs) / AVERAGING_HALF_LIFE_MS));
    return { reported, atMs, average: average + weight * (reported - average) };
}

/**
 * Estimates the present pace of an endpoint: the last report while it is new, then the average of its reports, and the
 * usual pace in the end.
 *
 * @param pace - What is known
 * @param nowMs - Monotonic time
 * @returns The pace; 100 is the usual one, and work takes twice as long at 200
 * @example
 * estimatePace({ reported: 300, atMs: 0, average: 150 }, 80); //=> about 225
 */
export function estimatePace(pace: EndpointPace, nowMs: number): number {
    const average = computeAverage(pace, nowMs);
    return average + computeShare(nowMs - pace.atMs, REPORT_HALF_LIFE_MS) * (pace.reported - average);
}

/**
 * Converts a measured time to that at the usual pace.
 *
 * @param ms - The time
 * @param pace - The pace at which it was measured; `undefined` if it is not known
 * @returns The time at the usual pace
 * @example
 * convertToUsualPace(60, 200); //=> 30
 */
export function convertToUsualPace(ms: number, pace: number | undefined): number {
    return pace === undefined ? ms : (ms * USUAL_PACE) / pace;
}

function computeAverage({ average, atMs }: EndpointPace, nowMs: number): number {
    return USUAL_PACE + computeShare(nowMs - atMs, AVERAGE_HALF_LIFE_MS) * (average - USUAL_PACE);
}

function computeShare(ageMs: number, halfLifeMs: number): number {
    return 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}
