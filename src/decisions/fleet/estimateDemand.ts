/**
 * @module Estimates the demand to prepare capacity for.
 */
import { findMonthDay, findWeekHour, listDayHours, listHours } from "./_lib/findTimeSlots";
import { DEMAND_HEADROOM, PREPARATION_LEAD_MS } from "./constants";
import type { DemandHistory } from "./demandHistory";

/** An estimated demand and its explanation for operators. */
export interface DemandEstimate {
    readonly unitsPerSecond: number;
    readonly reason: string;
}

/**
 * Estimates the demand from now until VMs ordered now would serve. It is the highest of the recent peak, the recorded
 * peak for the hour of the week, and the recorded peak for the day of the month, which is scaled to the hour by the
 * usual demand curve of that weekday.
 *
 * @param history - The recorded demand
 * @param recentPeak - Highest recent demand, in units per second
 * @param nowWallMs - Epoch milliseconds
 * @returns The demand including headroom
 * @example
 * estimateDemand(history, 320, nowWallMs); //=> { unitsPerSecond: 460, reason: "recorded for Mon 06:00 UTC ..." }
 */
export function estimateDemand(history: DemandHistory, recentPeak: number, nowWallMs: number): DemandEstimate {
    const recorded = listHours(nowWallMs, nowWallMs + PREPARATION_LEAD_MS).flatMap(hour => [
        { units: history.weekHours[findWeekHour(hour)] ?? 0, source: `recorded for ${formatHour(hour)} of the week` },
        { units: estimateByMonthDay(history, hour), source: `recorded for this day of the month, ${formatHour(hour)}` },
    ]);
    const recent = { units: recentPeak, source: "seen lately" };
    const highest = recorded.reduce((best, candidate) => (candidate.units > best.units ? candidate : best), recent);
    return {
        unitsPerSecond: highest.units * (1 + DEMAND_HEADROOM),
        reason: `${Math.round(highest.units)} a second ${highest.source}, ${DEMAND_HEADROOM * 100}% headroom`,
    };
}

function estimateByMonthDay(history: DemandHistory, hour: number): number {
    const dayPeak = history.monthDays[findMonthDay(hour)] ?? 0;
    const usualDayPeak = Math.max(...listDayHours(hour).map(weekHour => history.weekHours[weekHour] ?? 0));
    const usualHourPeak = history.weekHours[findWeekHour(hour)] ?? 0;
    return usualDayPeak > 0 && dayPeak > usualDayPeak ? (dayPeak * usualHourPeak) / usualDayPeak : 0;
}

function formatHour(hour: number): string {
    const date = new Date(hour * 3_600_000);
    return `${date.toUTCString().slice(0, 3)} ${String(date.getUTCHours()).padStart(2, "0")}:00 UTC`;
}
