/**
 * @module The usage counts of all nodes, as their rows and datagrams tell them.
 */
import type { UsageCounts } from "./createUsageMeter";

/** What is known of one life of a node. */
export interface IncarnationUsage {
    readonly node: string;
    readonly life: string;
    /** True time up to which the counts are known. */
    readonly atMs: number;
    readonly windows: Readonly<Record<string, UsageCounts>>;
}

/** The counts of all lives. */
export interface UsageLedger {
    /** Takes in what a life told; counts never sink, so the greater one is kept. */
    recordUsage(usage: IncarnationUsage): void;
    /** Sums a window's counts over all lives. */
    sumWindow(window: number): UsageCounts;
    /** Lists until when each life is known. */
    listIncarnations(): readonly Pick<IncarnationUsage, "node" | "life" | "atMs">[];
}

/** Lives that told nothing for this long are dropped. */
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
