/**
 * @module Counts the requests that endpoints began to execute, by account and window of true time.
 */
import { z } from "zod";
import type { TrueTime } from "./createTrueTime";

/** Windows kept: a report may be read late, never after these. */
const WINDOWS_KEPT = 6;

/** Counts by account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Counts by account, as rows and datagrams hold them. */
export const USAGE_COUNTS_SCHEMA = z.record(z.string(), z.number());

/** The counts of one node. */
export interface UsageMeter {
    /** Counts a request whose execution began now. */
    recordBegun(account: string): void;
    /** Gives the counts of the newest windows, all that are kept as a rule, by number of the window. */
    readWindows(most?: number): Readonly<Record<string, UsageCounts>>;
}

/**
 * Creates a meter without counts.
 *
 * @param trueTime - The time that windows are cut by
 * @param windowMs - Length of a window
 * @returns The meter
 * @example
 * usage.recordBegun("hule930");
 */
export function createUsageMeter(trueTime: TrueTime, windowMs: number): UsageMeter {
    const windows = new Map<number, Map<string, number>>();
    return {
        recordBegun: account => {
            const window = Math.floor(trueTime.readTrueMs() / windowMs);
            const counts = windows.get(window) ?? new Map<string, number>();
            windows.set(window, counts);
            counts.set(account, (counts.get(account) ?? 0) + 1);
            for (const old of windows.keys()) {
                if (old < window - WINDOWS_KEPT) {
                    windows.delete(old);
                }
            }
        },
        readWindows: (most = WINDOWS_KEPT) =>
            Object.fromEntries(
                [...windows].slice(-most).map(([window, counts]) => [String(window), Object.fromEntries(counts)]),
            ),
    };
}
