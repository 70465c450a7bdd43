/**
 * @module Recording demand by time of week and day of month.
 */
import { findMonthDay, findWeekHour, listHours } from "./_lib/findTimeSlots";
import { HISTORY_SMOOTHING_FACTOR } from "./constants";
import type { DemandHistory } from "./demandHistory";

/**
 * Records the demand seen now. The peaks of the week and month change only when an hour ends, so keeping the history
 * takes one write an hour.
 *
 * @param history - What was recorded so far
 * @param unitsPerSecond - The demand
 * @param nowWallMs - Now; an instant before the hour under way changes nothing
 * @returns The new history; `weekHours` is the same array while no hour has ended
 * @example
 * const next = recordDemandSample(history, 320, nowWallMs);
 * const mustKeep = next.weekHours !== history.weekHours;
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
            return index === monthDay ? Math.max(openPeak, peak * DAILY_DECAY) : peak;
        }),
    };
}

/** A day's peak falls by `HISTORY_WEIGHT` over the 24 hours of the next time that the day comes. */
const DAILY_DECAY = (1 - HISTORY_SMOOTHING_FACTOR) ** (1 / 24);

/** A higher peak counts at once, a lower one slowly: too many VMs cost less than a late shift digest. */
function mergePeaks(known: number, seen: number): number {
    return seen >= known ? seen : known + HISTORY_SMOOTHING_FACTOR * (seen - known);
}
