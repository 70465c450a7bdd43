/**
 * @module The reports that a relay has received from the nodes of its failure domain.
 */
import { MEMBER_TIMEOUT_MS, NEWS_PERIOD_MS, SILENT_EVIDENCE_MS, UNREACHABLE_AFTER_MS } from "./constants";
import { estimateUsedAtEnd } from "./estimateUsedAtEnd";
import { mergeHeardSuspects, sumClearances } from "./mergeSuspects";
import { mergeLimits } from "./mergeLimits";
import { mergeRollouts, sumCells } from "./mergeRollouts";
import type { DomainSummary, NodeIdentity, NodeReport, WindowCounts } from "./news";
import { sumAmounts, sumNews } from "./sumNews";

/** The usage counts of one incarnation, as its last reports gave them. */
export interface ReportedCounts extends Pick<NodeIdentity, "node" | "life"> {
    /** Cluster time up to which the counts are known. */
    readonly atMs: number;
    readonly windows: WindowCounts;
}

/** Collects the reports of the nodes of one failure domain. */
export interface ReportCollector {
    /** Takes a report; a report that is not newer than the last one of the same life is ignored. */
    recordReport(report: NodeReport, nowMs: number): void;
    /** True if an incarnation has reported. */
    hasLife(life: string): boolean;
    /** Sums the reports of the reachable nodes. */
    summarize(nowMs: number): Omit<DomainSummary, "relay" | "sequence" | "lostUsage">;
    /** Lists the live nodes, those that fell silent recently included. */
    listMembers(nowMs: number): readonly NodeIdentity[];
    /** Lists the nodes whose reports are in the sums. */
    listReachable(nowMs: number): readonly NodeIdentity[];
    /** Lists the usage counts of all incarnations that reported within the retention time. */
    listCounts(): readonly ReportedCounts[];
}

interface Contributor {
    readonly report: NodeReport;
    readonly heardAtMs: number;
    readonly counts: ReportedCounts | undefined;
}

/** Time for which the usage counts of a dead incarnation are kept; the counts of a window are due much earlier. */
const COUNTS_RETENTION_MS = 60_000;
/** Number of usage windows that are kept of each incarnation, the newest ones. */
const WINDOWS_KEPT_MAX = 3;

/**
 * Creates an empty collector.
 *
 * @param quotaWindowMs - Length of a quota window: usage of a silent node counts for this long after its last report
 * @returns The collector
 * @example
 * collector.recordReport(report, nowMs);
 * collector.summarize(nowMs).reachable;
 */
export function createReportCollector(quotaWindowMs: number): ReportCollector {
    const contributors = new Map<string, Contributor>();
    const listHeardWithin = (withinMs: number, nowMs: number) =>
        [...contributors.values()].filter(({ heardAtMs }) => nowMs - heardAtMs < withinMs);
    /** Keeps only the newest life of each node. */
    const listNewestLives = (withinMs: number, nowMs: number): readonly Contributor[] => {
        const heard = [...listHeardWithin(withinMs, nowMs)].sort((left, right) => left.heardAtMs - right.heardAtMs);
        return [...new Map(heard.map(contributor => [contributor.report.node, contributor])).values()];
    };
    const expireContributors = (nowMs: number) => {
        for (const [life, { heardAtMs }] of contributors) {
            if (nowMs - heardAtMs > COUNTS_RETENTION_MS) {
                contributors.delete(life);
            }
        }
    };
    return {
        recordReport: (report, nowMs) => {
            const before = contributors.get(report.life);
            if (before !== undefined && before.report.sequence >= report.sequence) {
                return;
            }
            contributors.set(report.life, { report, heardAtMs: nowMs, counts: mergeCounts(report, before?.counts) });
        },
        hasLife: life => contributors.has(life),
        summarize: nowMs => {
            expireContributors(nowMs);
            const reachable = listNewestLives(UNREACHABLE_AFTER_MS, nowMs);
            const reachableLives = new Set(reachable.map(({ report }) => report.life));
            const silent = listHeardWithin(quotaWindowMs, nowMs).filter(
                ({ report }) => !reachableLives.has(report.life),
            );
            return {
                ...sumNews(reachable.map(({ report }) => report)),
                nodes: listNewestLives(MEMBER_TIMEOUT_MS, nowMs).length,
                reachable: reachable.length,
                // Dead incarnations have counted other answers than living ones.
                suspects: mergeHeardSuspects(
                    listHeardWithin(SILENT_EVIDENCE_MS, nowMs).map(({ report: { suspects }, heardAtMs }) => ({
                        suspects,
                        elapsedMs: nowMs - heardAtMs,
                    })),
                    sumClearances,
                ),
                rollouts: mergeRollouts(
                    listHeardWithin(SILENT_EVIDENCE_MS, nowMs).map(({ report }) => report.rollouts),
                    sumCells,
                ),
                limits: mergeLimits(reachable.map(({ report }) => report.limits)),
                silentUsage: sumAmounts(silent.map(({ report }) => pickUsed(report))),
            };
        },
        listMembers: nowMs => listNewestLives(MEMBER_TIMEOUT_MS, nowMs).map(({ report }) => pickIdentity(report)),
        listReachable: nowMs => listNewestLives(UNREACHABLE_AFTER_MS, nowMs).map(({ report }) => pickIdentity(report)),
        listCounts: () => [...contributors.values()].flatMap(({ counts }) => counts ?? []),
    };
}

/** Gives the usage of a silent node, with what it may have charged after its last report. */
function pickUsed({ usage }: NodeReport): Readonly<Record<string, number>> {
    return Object.fromEntries(
        Object.entries(usage)
            .filter(([, { used }]) => used > 0)
            .map(([account, sums]) => [account, estimateUsedAtEnd(sums, NEWS_PERIOD_MS)]),
    );
}

/** Merges the counts of a report into those before: a report has the newest windows only. */
function mergeCounts(
    { node, life, counted }: NodeReport,
    before: ReportedCounts | undefined,
): ReportedCounts | undefined {
    if (counted === undefined) {
        return before;
    }
    const windows = Object.entries({ ...before?.windows, ...counted.windows })
        .sort(([left], [right]) => Number(left) - Number(right))
        .slice(-WINDOWS_KEPT_MAX);
    return { node, life, atMs: counted.atMs, windows: Object.fromEntries(windows) };
}

function pickIdentity({ node, life, failureDomain, address, port, capacity }: NodeReport): NodeIdentity {
    return { node, life, failureDomain, address, port, capacity };
}
