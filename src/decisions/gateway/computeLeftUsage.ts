/**
 * @module Computes how much of the usage before a restart of all nodes has left the quota window since.
 *
 * What was charged between the last record and the restart is not known, but it was within the limit: at most the limit less the
 * recorded usage of the window. So the nodes that started may charge as much as has left the window of that recorded usage.
 */
import { SAMPLE_SPAN_MS, type UsageRecord } from "./createUsageSamples";

/** Added to the time at which usage leaves: the nodes' clocks and counters may differ by so much. */
const LEAVING_MARGIN_MS = 250;

/** Share of the limit above which a quota counts as mostly used. */
const MOSTLY_USED_SHARE = 0.5;

/** A record that was read after a start. */
export interface FormerUsage {
    readonly record: UsageRecord;
    /** Monotonic time of this node at which it was written. */
    readonly atMs: number;
}

/** Usage that has left the window since a restart. */
export interface LeftUsage {
    readonly amount: number;
    /** How much leaves now, in each millisecond. */
    readonly perMs: number;
}

/** The account, the quota window, the restart and the present. */
export interface LeftUsageInput {
    readonly account: string;
    readonly windowMs: number;
    /** For how long the nodes that started have counted usage. */
    readonly countsForMs: number;
    readonly nowMs: number;
}

/**
 * Computes it.
 *
 * @param former - The recorded usage
 * @param input - The account and the times
 * @returns The usage that has left
 * @example
 * computeLeftUsage(former, { account: "county", windowMs: 8_000, countsForMs, nowMs }).amount;
 */
export function computeLeftUsage(former: FormerUsage, input: LeftUsageInput): LeftUsage {
    const { account, windowMs, countsForMs, nowMs } = input;
    let amount = 0;
    let perMs = 0;
    for (const { ageMs, usage } of former.record) {
        const charged = usage[account] ?? 0;
        const leftAtMs = former.atMs - ageMs + windowMs + LEAVING_MARGIN_MS;
        const computeLeftShare = (atMs: number) =>
            Math.min(1, Math.max(0, (atMs - leftAtMs + SAMPLE_SPAN_MS) / SAMPLE_SPAN_MS));
        amount += charged * (computeLeftShare(nowMs) - computeLeftShare(nowMs - countsForMs));
        perMs += nowMs < leftAtMs && nowMs >= leftAtMs - SAMPLE_SPAN_MS ? charged / SAMPLE_SPAN_MS : 0;
    }
    return { amount, perMs };
}

/** Tells whether recorded usage of most of a limit has not left the window yet, so that nothing else may be granted beside it. */
export function isMostlyUsed(
    { record, atMs }: FormerUsage,
    { account, windowMs, limit, nowMs }: Pick<LeftUsageInput, "account" | "windowMs" | "nowMs"> & { limit: number },
): boolean {
    const used = record.reduce((sum, { usage }) => sum + (usage[account] ?? 0), 0);
    return nowMs < atMs + windowMs && used > MOSTLY_USED_SHARE * limit;
}
