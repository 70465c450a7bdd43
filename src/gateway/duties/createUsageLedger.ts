/**
 * @module The usage counts of all nodes, collected from their member rows and datagrams.
 */
import type { UsageCounts } from "./createUsageMeter";

/** The usage counts of one incarnation of a node. */
export interface IncarnationUsage {
    readonly node: string;
    /** Incarnation: identifies one start of the node's process. */
    readonly life: string;
    /** Cluster time up to which the counts are known. */
    readonly atMs: number;
    /** Counts by window number and account. */
    readonly windows: Readonly<Record<string, UsageCounts>>;
}

/** The counts of all incarnations. */
export interface UsageLedger {
    /** Merges the counts of an incarnation. They never decrease, so the greater of two values is the newer one. */
    recordUsage(usage: IncarnationUsage): void;
    /** Sums the counts of a window over all incarnations. */
    sumWindow(window: number): UsageCounts;
    /** Lists the incarnations, each with the time up to which its counts are known. */
    listIncarnations(): readonly Pick<IncarnationUsage, "node" | "life" | "atMs">[];
}

/** Incarnations that sent nothing for this long are removed. */
const INCARNATION_RETENTION_MS = 60_000;

/**
 * Creates an empty ledger.
 *
 * @returns The ledger
 * @example
 * ledger.sumWindow(353_445_120);
 */
export function createUsageLedger(): UsageLedger {
    const incarnations = new Map<string, IncarnationUsage>();
    return {
        recordUsage: usage => {
            const before = incarnations.get(usage.life);
            incarnations.set(usage.life, before === undefined ? usage : mergeUsage(before, usage));
            for (const [life, { atMs }] of incarnations) {
                if (atMs < usage.atMs - INCARNATION_RETENTION_MS) {
                    incarnations.delete(life);
                }
            }
        },
        sumWindow: window => {
            const sums: Record<string, number> = {};
            for (const { windows } of incarnations.values()) {
                for (const [account, count] of Object.entries(windows[String(window)] ?? {})) {
                    sums[account] = (sums[account] ?? 0) + count;
                }
            }
            return sums;
        },
        listIncarnations: () => [...incarnations.values()],
    };
}

function mergeUsage(before: IncarnationUsage, after: IncarnationUsage): IncarnationUsage {
    const windows: Record<string, UsageCounts> = { ...before.windows };
    for (const [window, counts] of Object.entries(after.windows)) {
        const merged: Record<string, number> = { ...windows[window] };
        for (const [account, count] of Object.entries(counts)) {
            merged[account] = Math.max(merged[account] ?? 0, count);
        }
        windows[window] = merged;
    }
    return { ...after, atMs: Math.max(before.atMs, after.atMs), windows };
}
