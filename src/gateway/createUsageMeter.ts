/**
 * @module Counts the requests that endpoints began to execute, by account and window of true time.
 */
import { z } from "zod";
import type { ClusterTime } from "./createClusterTime";

/** Windows kept: a report may be read late, never after these. */
const WINDOWS_KEPT_MAX = 6;

/** Counts by account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Counts by account, as rows and datagrams hold them. */
export const USAGE_COUNTS_SCHEMA = z.record(z.string(), z.number());

/** The counts of one node. */
export interface UsageMeter {
    /** Counts a request whose execution began now. */
    recordExecutionStart(account: string): void;
    /** Gives the counts of the newest windows, all that are kept as a rule, by number of the window. */
    readWindows(maxWindows?: number): Readonly<Record<string, UsageCounts>>;
}

/**
 * Creates a meter without counts.
 *
 * @param clusterTime - The time that windows are cut by
 * @param windowMs - Length of a window
 * @returns The meter
 * @example
 * usage.recordBegun("hule930");
 */
export function createUsageMeter(clusterTime: ClusterTime, windowMs: number): UsageMeter {
    const windows = new Map<number, Map<string, number>>();
    return {
        recordExecutionStart: account => {
            const window = Math.floor(clusterTime.readClusterMs() / windowMs);
            const counts = windows.get(window) ?? new Map<string, number>();
            windows.set(window, counts);
            counts.set(account, (counts.get(account) ?? 0) + 1);
            for (const kept of windows.keys()) {
                if (kept < window - WINDOWS_KEPT_MAX) {
                    windows.delete(kept);
                }
            }
        },
        readWindows: (maxWindows = WINDOWS_KEPT_MAX) =>
            Object.fromEntries(
                [...windows].slice(-maxWindows).map(([window, counts]) => [String(window), Object.fromEntries(counts)]),
            ),
    };
}
