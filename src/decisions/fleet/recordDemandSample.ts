/**
 * @module Records demand by hour of the week and day of the month.
 */
import { findMonthDay, findWeekHour, listHours } from "./_lib/findTimeSlots";
import { HISTORY_SMOOTHING_FACTOR } from "./constants";
import type { DemandHistory } from "./demandHistory";

/**
 * Records a sample of the demand. The peaks of the week and month change only when an hour ends, so storing the history
 * takes one write per hour.
 *
 * @param history - The history so far
 * @param unitsPerSecond - The sampled demand
 * @param nowWallMs - Epoch milliseconds; a time before the current hour of the history changes nothing
 * @returns The new history; `weekHours` stays the same array until an hour has ended
 * @example
 * const next = recordDemandSample(history, 320, nowWallMs);
 * const mustStore = next.weekHours !== history.weekHours;
 */
export function recordDemandSample(history: DemandHistory, unitsPerSecond: number, nowWallMs: number): DemandHistory {
    const [hour = 0] = listHours(nowWallMs, nowWallMs);
    if (hour < history.openHour) {
        return history;
    }
    if (hour === history.openHour) {
        return { ...history, openPeak: Math.max(history.openPeak, unitsPerSecond) };
    }
    const closed = history.openHour === 0 ? history : closeHour(history);
    return { ...closed, openHour: hour, openPeak: unitsPerSecond };
}

function closeHour(history: DemandHistory): DemandHistory {
    const { openHour, openPeak } = history;
    const weekHour = findWeekHour(openHour);
    const monthDay = findMonthDay(openHour);
    return {
        ...history,
        weekHours: history.weekHours.map((peak, index) => (index === weekHour ? mergePeaks(peak, openPeak) : peak)),
        monthDays: history.monthDays.map((peak, index) => {
            return index === monthDay ? Math.max(openPeak, peak * HOURLY_DECAY) : peak;
        }),
    };
}

/** Factor per hour at which a month day's peak decays: over 24 hours it falls by `HISTORY_SMOOTHING_FACTOR`. */
const HOURLY_DECAY = (1 - HISTORY_SMOOTHING_FACTOR) ** (1 / 24);

/** Adopts a higher peak at once and averages in a lower one: too many VMs cost less than late answers. */
function mergePeaks(recorded: number, observed: number): number {
    return observed >= recorded ? observed : recorded + HISTORY_SMOOTHING_FACTOR * (observed - recorded);
}
