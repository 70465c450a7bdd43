/**
 * @module Counts the requests that endpoints began to execute, by account and usage window. Windows are numbered from
 * the Unix epoch in cluster time.
 */
import { z } from "zod";
import type { ClusterTime } from "../tables/createClusterTime";

/** Number of windows kept; the counts of a window are never read later than this. */
const WINDOWS_KEPT_MAX = 6;

/** Number of requests by account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Schema of the counts in rows and datagrams. */
export const USAGE_COUNTS_SCHEMA = z.record(z.string(), z.number());

/** The counts of one node. */
export interface UsageMeter {
    /** Counts a request whose execution has just begun. */
    recordExecutionStart(account: string): void;
    /** Gives the counts of the newest windows by window number; by default, of all windows that are kept. */
    readWindows(maxWindows?: number): Readonly<Record<string, UsageCounts>>;
}

/**
 * Creates a meter, with all counts at zero.
 *
 * @param clusterTime - The time by which requests are assigned to windows
 * @param windowMs - Length of a window in milliseconds
 * @returns The meter
 * @example
 * usage.recordExecutionStart("hule930");
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
