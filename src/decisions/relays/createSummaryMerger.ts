/**
 * @module Merges the summaries of all failure domains into one view of the fleet.
 */
import {
    MEMBER_TIMEOUT_MS,
    NEWS_DELAY_MAX_MS,
    NEWS_PERIOD_MS,
    SILENT_EVIDENCE_MS,
    UNREACHABLE_AFTER_MS,
} from "./constants";
import { estimateUsedAtEnd } from "./estimateUsedAtEnd";
import type { DomainSummary, FleetView, NodeIdentity, RolloutReports, SuspectParts, UsageSums } from "./news";
import { createLostUsage, type UsageByAccount, WHOLE_FLEET } from "./createLostUsage";
import { advanceSuspects, mergeSuspects, sumClearances } from "./mergeSuspects";
import { mergeLimits } from "./mergeLimits";
import { maximizeCells, mergeRollouts, sumCells } from "./mergeRollouts";
import { sumAmounts, sumNews, sumRecords } from "./sumNews";

/** Merges summaries. */
export interface SummaryMerger {
    /** Takes a summary; one that is not newer than the last one of the same relay's life is ignored. */
    recordSummary(summary: DomainSummary, nowMs: number): void;
    /**
     * Records the last view of a node that becomes a relay: if the former relays died together, nobody else may know
     * what the nodes that died with them had used.
     */
    recordFormerView(view: FleetView, atMs: number, nowMs: number): void;
    /** Records how many live nodes a failure domain has by the rows of its relays in the store. */
    recordStoredCount(failureDomain: string, nodes: number, nowMs: number): void;
    /** Sums all failure domains. */
    mergeView(nowMs: number): FleetView;
    /** Gives the usage that this relay knows to be lost, by account, as of the last view. */
    readLostUsage(): Readonly<Record<string, number>>;
    /** Lists the relays from which a summary arrived recently. */
    listRelays(nowMs: number): readonly NodeIdentity[];
}

interface HeardSummary {
    readonly summary: DomainSummary;
    readonly heardAtMs: number;
}

interface StoredCount {
    readonly nodes: number;
    readonly atMs: number;
}

/**
 * Creates a merger that knows no failure domain yet.
 *
 * @param quotaWindowMs - Length of a quota window: usage of an unreachable failure domain counts for this long
 * @returns The merger
 * @example
 * merger.recordSummary(summary, nowMs);
 * merger.mergeView(nowMs).nodes;
 */
export function createSummaryMerger(quotaWindowMs: number): SummaryMerger {
    const heard = new Map<string, HeardSummary>();
    const stored = new Map<string, StoredCount>();
    const lostUsage = createLostUsage(quotaWindowMs);
    let ownLost: Readonly<Record<string, number>> = {};
    let mergingSinceMs = Number.NEGATIVE_INFINITY;
    let mergedAtMs = Number.NEGATIVE_INFINITY;

    const listWithin = (withinMs: number, nowMs: number) =>
        [...heard.values()].filter(({ heardAtMs }) => nowMs - heardAtMs < withinMs);
    const countNodes = (failureDomain: string, nowMs: number): number => {
        const count = stored.get(failureDomain);
        const storedNodes = count !== undefined && nowMs - count.atMs < MEMBER_TIMEOUT_MS ? count.nodes : 0;
        const summaries = splitByDomain(listWithin(MEMBER_TIMEOUT_MS, nowMs)).get(failureDomain) ?? [];
        return Math.max(storedNodes, ...summaries.map(({ nodes }) => nodes));
    };
    /**
     * Sums the usage of a failure domain by the summaries that arrived within some time, with what its nodes may have
     * charged in `unreportedMs` after them.
     */
    const readDomainUsage = (
        failureDomain: string,
        withinMs: number,
        nowMs: number,
        unreportedMs = 0,
    ): UsageByAccount => {
        const summaries = splitByDomain(listWithin(withinMs, nowMs)).get(failureDomain);
        return summaries === undefined ? {} : pickAllUsed(mergeDomain(summaries), unreportedMs);
    };
    /** Lists what the relays of each failure domain know as evidence, of those as well that can't be reached. */
    const listEvidence = <T>(pick: (summary: DomainSummary, elapsedMs: number) => T, nowMs: number) => {
        const byDomain = new Map<string, T[]>();
        for (const { summary, heardAtMs } of listWithin(SILENT_EVIDENCE_MS, nowMs)) {
            const { failureDomain } = summary.relay;
            byDomain.set(failureDomain, [...(byDomain.get(failureDomain) ?? []), pick(summary, nowMs - heardAtMs)]);
        }
        return [...byDomain.values()];
    };
    const mergeAllSuspects = (nowMs: number): SuspectParts =>
        mergeSuspects(
            listEvidence(({ suspects }, elapsedMs) => advanceSuspects(suspects, elapsedMs), nowMs).map(list =>
                mergeSuspects(list, Math.max),
            ),
            sumClearances,
        );
    const mergeAllRollouts = (nowMs: number): RolloutReports =>
        mergeRollouts(
            listEvidence(({ rollouts }) => rollouts, nowMs).map(list => mergeRollouts(list, maximizeCells)),
            sumCells,
        );
    /** Records what the former relays of a failure domain said, if a new relay sums it and none of them is left. */
    const recordTakeover = ({ node, failureDomain }: NodeIdentity, nowMs: number) => {
        const former = [...heard.values()].filter(({ summary }) => summary.relay.failureDomain === failureDomain);
        const isAnyLeft = former.some(
            ({ summary, heardAtMs }) => summary.relay.node !== node && nowMs - heardAtMs < UNREACHABLE_AFTER_MS,
        );
        if (former.length > 0 && !isAnyLeft) {
            const used = readDomainUsage(failureDomain, quotaWindowMs, nowMs, 2 * NEWS_PERIOD_MS);
            const heardAtMs = Math.max(...former.map(one => one.heardAtMs));
            lostUsage.recordTakeover(failureDomain, { used, heardAtMs }, nowMs);
            former.forEach(({ summary }) => heard.delete(summary.relay.node));
        }
    };
    return {
        recordSummary: (summary, nowMs) => {
            const before = heard.get(summary.relay.node)?.summary;
            const isSameLife = before?.relay.life === summary.relay.life;
            if (!isSameLife) {
                recordTakeover(summary.relay, nowMs);
            }
            if (!isSameLife || before.sequence < summary.sequence) {
                heard.set(summary.relay.node, { summary, heardAtMs: nowMs });
            }
        },
        recordFormerView: (view, atMs, nowMs) => {
            const used = sumAmounts([pickAllUsed(view, 2 * NEWS_PERIOD_MS), view.lostUsage]);
            lostUsage.recordTakeover(WHOLE_FLEET, { used, heardAtMs: atMs }, nowMs);
        },
        recordStoredCount: (failureDomain, nodes, nowMs) => {
            stored.set(failureDomain, { nodes, atMs: nowMs });
        },
        mergeView: nowMs => {
            const reachable = splitByDomain(listWithin(UNREACHABLE_AFTER_MS, nowMs));
            const silent = [...splitByDomain(listWithin(quotaWindowMs, nowMs))].filter(
                ([failureDomain]) => !reachable.has(failureDomain),
            );
            const merged = [...reachable.values()].map(mergeDomain);
            const domains = new Set([...heard.values()].map(({ summary }) => summary.relay.failureDomain));
            stored.forEach((_count, failureDomain) => domains.add(failureDomain));
            const sums = sumNews(merged);
            mergingSinceMs = nowMs - mergedAtMs < UNREACHABLE_AFTER_MS ? mergingSinceMs : nowMs;
            mergedAtMs = nowMs;
            const silentUsage = sumAmounts([
                ...merged.map(domain => domain.silentUsage),
                ...silent.map(([, summaries]) => pickAllUsed(mergeDomain(summaries), 2 * NEWS_PERIOD_MS)),
            ]);
            // Silent failure domains count as heard with what they had used: it isn't lost.
            const present = new Map([
                ...silent.map(
                    ([domain, summaries]) => [domain, pickAllUsed(mergeDomain(summaries), 2 * NEWS_PERIOD_MS)] as const,
                ),
                ...[...reachable.keys()].map(
                    domain => [domain, readDomainUsage(domain, UNREACHABLE_AFTER_MS, nowMs)] as const,
                ),
            ]);
            ownLost = lostUsage.sumLost(present, nowMs);
            const othersLost = listWithin(UNREACHABLE_AFTER_MS, nowMs).map(({ summary }) => summary.lostUsage);
            return {
                ...sums,
                // A relay that has just begun may not know yet what the other relays know of usage before it.
                countsForMs: nowMs - mergingSinceMs < NEWS_DELAY_MAX_MS ? 0 : sums.countsForMs,
                nodes: [...domains].reduce((sum, domain) => sum + countNodes(domain, nowMs), 0),
                reachable: merged.reduce((sum, domain) => sum + domain.reachable, 0),
                silentUsage,
                suspects: mergeAllSuspects(nowMs),
                rollouts: mergeAllRollouts(nowMs),
                limits: mergeLimits(listWithin(UNREACHABLE_AFTER_MS, nowMs).map(({ summary }) => summary.limits)),
                lostUsage: sumRecords([ownLost, ...othersLost], Math.max),
            };
        },
        readLostUsage: () => ownLost,
        listRelays: nowMs => listWithin(UNREACHABLE_AFTER_MS, nowMs).map(({ summary }) => summary.relay),
    };
}

function splitByDomain(list: readonly HeardSummary[]): ReadonlyMap<string, readonly DomainSummary[]> {
    const groups = new Map<string, DomainSummary[]>();
    for (const { summary } of list) {
        const { failureDomain } = summary.relay;
        groups.set(failureDomain, [...(groups.get(failureDomain) ?? []), summary]);
    }
    return groups;
}

/**
 * Merges what the relays of one failure domain say. They sum the same nodes, so the sums are not added: loads come from
 * the relay that hears most nodes, and of usage the greater value counts, since a quota must not be exceeded.
 */
function mergeDomain(summaries: readonly DomainSummary[]): DomainSummary {
    const [first, ...others] = [...summaries].sort((left, right) => right.reachable - left.reachable);
    if (first === undefined) {
        throw new RangeError("a failure domain needs at least one summary");
    }
    return {
        ...first,
        countsForMs: Math.max(first.countsForMs, ...others.map(other => other.countsForMs)),
        usage: sumRecords([first.usage, ...others.map(other => other.usage)], pickGreaterUsage),
        silentUsage: sumRecords([first.silentUsage, ...others.map(other => other.silentUsage)], Math.max),
    };
}

function pickGreaterUsage(left: UsageSums, right: UsageSums): UsageSums {
    return {
        used: Math.max(left.used, right.used),
        recent: Math.max(left.recent, right.recent),
        asked: Math.max(left.asked, right.asked),
    };
}

function pickAllUsed(
    { usage, silentUsage }: Pick<DomainSummary, "usage" | "silentUsage">,
    unreportedMs: number,
): UsageByAccount {
    const used = Object.entries(usage).map(
        ([account, sums]) => [account, estimateUsedAtEnd(sums, unreportedMs)] as const,
    );
    return sumAmounts([Object.fromEntries(used), silentUsage]);
}
