/**
 * @module Samples of what all nodes together charged to the accounts, for a record that outlasts a loss of all nodes at once.
 */
import { RECENT_USAGE_MS } from "../relays/constants";
import type { FleetView } from "../relays/news";

/** Time that a sample covers. */
export const SAMPLE_SPAN_MS = RECENT_USAGE_MS;
/** A sample may be taken so much too early, as timers are not exact. */
const EARLY_MS = 10;
/** Most accounts in a record, those with the most usage; it bounds the size of the record. */
const ACCOUNTS_MAX = 48;
/** Part of the reported usage that is recorded: samples of late reports may overlap, and too little is safe. */
const RECORDED_SHARE = 0.95;

/** What was charged by account in `SAMPLE_SPAN_MS`, and how long before the record that time ended at the latest. */
export interface UsageSample {
    readonly ageMs: number;
    readonly usage: Readonly<Record<string, number>>;
}

/** The samples of one quota window, the oldest first. */
export type UsageRecord = readonly UsageSample[];

/** Keeps the samples of a quota window. */
export interface UsageSamples {
    /** Takes a view of all nodes; one that is not a whole span later than the last sample is ignored. */
    recordView(view: Pick<FleetView, "usage">, nowMs: number): void;
    buildRecord(nowMs: number): UsageRecord;
}

/**
 * Creates samples, none yet.
 *
 * @param windowMs - Length of a quota window in milliseconds
 * @returns The samples
 * @example
 * samples.recordView(news.readUsage(), nowMs);
 * samples.buildRecord(nowMs);
 */
export function createUsageSamples(windowMs: number): UsageSamples {
    let samples: readonly { readonly atMs: number; readonly usage: Readonly<Record<string, number>> }[] = [];
    const listLargest = () => {
        const sums = new Map<string, number>();
        for (const [account, amount] of samples.flatMap(({ usage }) => Object.entries(usage))) {
            sums.set(account, (sums.get(account) ?? 0) + amount);
        }
        const largest = [...sums].sort((left, right) => right[1] - left[1]).slice(0, ACCOUNTS_MAX);
        return new Set(largest.map(([account]) => account));
    };
    return {
        recordView: ({ usage }, nowMs) => {
            if (nowMs - (samples.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY) < SAMPLE_SPAN_MS - EARLY_MS) {
                return;
            }
            const amounts = Object.entries(usage)
                .map(([account, { recent }]) => [account, Math.floor(RECORDED_SHARE * recent)] as const)
                .filter(([, amount]) => amount > 0);
            samples = [
                ...samples.filter(({ atMs }) => nowMs - atMs < windowMs),
                { atMs: nowMs, usage: Object.fromEntries(amounts) },
            ];
        },
        buildRecord: nowMs => {
            const largest = listLargest();
            return samples.map(({ atMs, usage }) => ({
                ageMs: Math.round(nowMs - atMs),
                usage: Object.fromEntries(Object.entries(usage).filter(([account]) => largest.has(account))),
            }));
        },
    };
}
