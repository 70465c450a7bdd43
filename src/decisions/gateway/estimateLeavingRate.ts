/**
 * @module Estimates how fast usage leaves the quota window.
 */
import { NEWS_DELAY_USUAL_MS, RECENT_USAGE_MS } from "../relays/constants";
import type { UsageSums } from "../relays/news";
import type { UsageHistory } from "./usageHistory";

/** The history's rates count as much more as the usage exceeds them, up to this; samples may be missing. */
const HISTORY_SCALE_MAX = 1.5;
/** Number of requests that the leaving rate is averaged over, and the bounds of the time for it. */
const LEAVING_REQUESTS = 8;
const LEAVING_SPAN_MS = { least: 400, most: 2_000 };
/** By how much earlier and later the leaving usage may have been charged, at least. */
const LEAVING_UNCERTAINTY_MS = 250;
/** Half of a slice of the counters, which drop usage by whole slices. */
const COUNTER_DELAY_MS = 130;

/**
 * Estimates the rate at which usage leaves the window now. Since the time at which it was charged is known only
 * roughly, the lowest of three neighbouring rates counts.
 *
 * @param sums - What all nodes have charged
 * @param history - When they charged it
 * @param requestMs - Time in which the limit grants a request of mean size
 * @param times - The quota window and the present
 * @returns The rate in each millisecond
 * @example
 * estimateLeavingRate(sums, state.history, 30, { windowMs: 8_000, nowMs });
 */
export function estimateLeavingRate(
    { used }: Pick<UsageSums, "used">,
    history: UsageHistory,
    requestMs: number,
    { windowMs, nowMs }: { readonly windowMs: number; readonly nowMs: number },
): number {
    const { least, most } = LEAVING_SPAN_MS;
    const spanMs = Math.min(most, Math.max(least, LEAVING_REQUESTS * requestMs));
    const uncertaintyMs = Math.max(LEAVING_UNCERTAINTY_MS, spanMs / 2);
    // A sample is the mean of the recent time, and as late as its report.
    const sampledMs = nowMs - windowMs - COUNTER_DELAY_MS + NEWS_DELAY_USUAL_MS / 2 + RECENT_USAGE_MS / 2;
    const sums = [0, uncertaintyMs, -uncertaintyMs].map(offsetMs =>
        history.sumUsage(sampledMs + offsetMs - spanMs / 2, sampledMs + offsetMs + spanMs / 2),
    );
    const scale = used / Math.max(1, history.sumUsage(nowMs - windowMs, nowMs));
    return (Math.min(HISTORY_SCALE_MAX, scale) * Math.min(...sums)) / spanMs;
}
