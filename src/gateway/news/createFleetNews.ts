/**
 * @module News between nodes: each node reports to the relays of its failure domain, which sum the reports, exchange
 * the sums, and send every node a view of the whole fleet. What a node sends and receives therefore does not grow with
 * the number of nodes.
 *
 * Every node can be a relay: it is one while it is among its own choices or other nodes report to it. A relay holds
 * nothing that must last, and the next choice takes over when it falls silent.
 */
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import type { FleetUsage } from "../../decisions/gateway/accountQuotas";
import { chooseRelays } from "../../decisions/relays/chooseRelays";
import { RowRole } from "../../decisions/relays/chooseRowSource";
import { MEMBER_TIMEOUT_MS, NEWS_PERIOD_MS, UNREACHABLE_AFTER_MS } from "../../decisions/relays/constants";
import { createReportCollector, type ReportedCounts } from "../../decisions/relays/createReportCollector";
import { createSummaryMerger } from "../../decisions/relays/createSummaryMerger";
import { advanceSuspects, mergeSuspects, sumClearances } from "../../decisions/relays/mergeSuspects";
import type {
    EndpointActivity,
    FleetView,
    NodeIdentity,
    NodeReport,
    ServiceLoad,
    SuspectParts,
} from "../../decisions/relays/news";
import { FailureOwner } from "../process/createFailureReporter";
import { createNewsSocket } from "./createNewsSocket";
import { createRelayRoster } from "./createRelayRoster";
import type { FleetNewsOptions } from "./fleetNewsOptions";
import { isSendableAddress } from "./isSendableAddress";
import { NO_VIEW } from "./noFleetView";
import { decodeNews, encodeNews, NewsKind, type NewsMessage, type SenderAddress } from "./newsCodec";

/** A node stops acting as a relay when nobody has reported to it for this long. */
const RELAY_UNUSED_MS = 3_000;
/** Time between two lists of members, and between two reports with usage counts, in periods of the news. */
const MEMBERS_EVERY_PERIODS = 8;
const COUNTS_EVERY_PERIODS = 4;
/** Relays of the whole fleet that read the store: one, and one that is ready to take over. */
const READER_COUNT = 2;
/** A relay that has just started waits for the news of another one for so many periods at most. */
const LOADING_PERIODS_MAX = 3;
/** A node assumes that it is no longer counted this long before it is not. */
const COUNTED_MARGIN_MS = 1_500;
/** A longer time between two exchanges means that this node stood still and heard nobody. */
const STANDSTILL_MS = 2 * NEWS_PERIOD_MS;

/** Where a node reads rows of the store. */
export interface RowSources {
    readonly role: RowRole;
    /** The nodes that it reads them from. */
    readonly nodes: readonly NodeIdentity[];
}

/** The exchange of news with the other nodes. */
export interface FleetNews extends Disposable, DumpSource {
    /** True once a view of the fleet has arrived, so that quotas can be judged. */
    isLoaded(): boolean;
    /** True while this node relays for others or for itself. */
    isRelay(): boolean;
    /** True if its failure domain has no other relay. */
    isOnlyRelay(): boolean;
    /** True if a view arrived recently. */
    isInTouch(): boolean;
    /** Gives what the quotas need to know of all nodes. */
    readUsage(): FleetUsage;
    /** Gives the load of all nodes on a service. */
    readLoad(service: string): ServiceLoad;
    /** Gives from which nodes this node reads rows of the store, the first choice first. */
    readRowSources(): RowSources;
    /** True if no summary of some failure domain arrived recently. */
    hasUnreachableDomain(): boolean;
    /** Lists the relays of all failure domains that this relay hears, itself included. */
    listAllRelays(): readonly NodeIdentity[];
    /** Lists the live nodes that report to this relay, itself included. */
    listMembers(): readonly NodeIdentity[];
    /** Lists the usage counts of all incarnations that reported to this relay. */
    listCounts(): readonly ReportedCounts[];
    /** Takes nodes of this failure domain from the store; the exchange begins with the first ones. */
    addMembers(members: readonly NodeIdentity[]): void;
    /** Takes relays of any failure domain from the store, with the number of nodes that each counts. */
    addStoredRelays(relays: readonly { readonly identity: NodeIdentity; readonly nodes: number }[]): void;
    /** Gives what all nodes know of prompt parts that crash endpoints. */
    readSuspects(): SuspectParts;
    /** Takes what nodes knew of them from the store. */
    addStoredSuspects(suspects: SuspectParts): void;
    /** Records that the store shows this node as a live relay. */
    recordStored(): void;
}

/**
 * Starts the exchange.
 *
 * @param options - Identity of this node, its news, and dependencies
 * @returns The exchange
 * @example
 * quotas.charge(account, tokens, news.readUsage(), nowMs);
 */
export function createFleetNews(options: FleetNewsOptions): FleetNews {
    const { self, clock, log, quotaWindowMs, reportFailure } = options;
    const collector = createReportCollector(quotaWindowMs);
    const merger = createSummaryMerger(quotaWindowMs);
    const roster = createRelayRoster(self, clock, log);
    const storedRelays = new Map<string, { readonly identity: NodeIdentity; readonly listedAtMs: number }>();
    const viewers = new Set<string>();
    let view: { readonly content: FleetView; readonly atMs: number } | undefined;
    let reported: Readonly<Record<string, EndpointActivity>> = {};
    let sequence = 0;
    let askedAtMs = Number.NEGATIVE_INFINITY;
    let countedAtMs = Number.NEGATIVE_INFINITY;
    let lastSummary: { readonly bytes: Buffer; readonly atMs: number } | undefined;
    let hasMembers = false;
    let hasHeardLoaded = false;
    let wasRelay = false;
    let exchangedAtMs = clock.readMonotonicMs();

    const isFresh = (atMs: number, withinMs: number) => clock.readMonotonicMs() - atMs < withinMs;
    const isRelay = () =>
        isFresh(askedAtMs, RELAY_UNUSED_MS) || roster.listRelays().some(({ node }) => node === self.node);
    const isInTouch = () => view !== undefined && isFresh(view.atMs, UNREACHABLE_AFTER_MS);

    const listFreshRelays = () => merger.listRelays(clock.readMonotonicMs()).filter(({ node }) => node !== self.node);
    const listStoredRelays = () =>
        [...storedRelays.values()]
            .filter(({ listedAtMs }) => isFresh(listedAtMs, MEMBER_TIMEOUT_MS))
            .map(({ identity }) => identity)
            .filter(({ node }) => node !== self.node);
    /** True if this node has just started and other relays may know what it must know before its first request. */
    const isLoading = () => {
        const heard = new Set(listFreshRelays().map(({ node }) => node));
        const hasHeardAll = listStoredRelays().every(({ node }) => heard.has(node));
        return view === undefined && sequence <= LOADING_PERIODS_MAX && !hasHeardLoaded && !hasHeardAll;
    };

    const applyView = (content: FleetView) => {
        // Before this node counts as loaded: its first request must not go where the others know that it must not.
        options.evidence.mergeEvidence(content.suspects);
        options.rollouts.mergeReports(content.rollouts);
        options.limits.mergeLimits(content.limits);
        view = { content, atMs: clock.readMonotonicMs() };
        const activity = new Map<string, EndpointActivity>();
        for (const [id, { inFlight, pendingTokens }] of Object.entries(content.endpoints)) {
            activity.set(id, {
                inFlight: Math.max(0, inFlight - (reported[id]?.inFlight ?? 0)),
                pendingTokens: Math.max(0, pendingTokens - (reported[id]?.pendingTokens ?? 0)),
            });
        }
        options.handleActivity(activity);
    };
    const handlers: { readonly [K in NewsKind]: (message: Extract<NewsMessage, { kind: K }>) => void } = {
        [NewsKind.Report]: ({ report, wantsViews }) => {
            const nowMs = clock.readMonotonicMs();
            if (report.failureDomain !== self.failureDomain) {
                return;
            }
            const isNew = !roster.hasMember(report.node) || !collector.hasLife(report.life);
            askedAtMs = nowMs;
            collector.recordReport(report, nowMs);
            roster.addMembers([report]);
            roster.recordLife(report.node);
            if (wantsViews) {
                viewers.add(report.life);
            } else {
                viewers.delete(report.life);
            }
            if (isNew) {
                socket.send(encodeMembers(), report);
                if (!isLoading()) {
                    socket.send(encodeView(mergeView(nowMs)), report);
                }
            }
        },
        [NewsKind.Summary]: ({ summary }) => {
            if (summary.relay.node === self.node) {
                return;
            }
            const isNew = !listFreshRelays().some(({ life }) => life === summary.relay.life);
            merger.recordSummary(summary, clock.readMonotonicMs());
            hasHeardLoaded ||= summary.sequence > LOADING_PERIODS_MAX;
            if (isNew && lastSummary !== undefined && isFresh(lastSummary.atMs, UNREACHABLE_AFTER_MS)) {
                socket.send(lastSummary.bytes, summary.relay);
            }
        },
        [NewsKind.View]: ({ relay, view: content }) => {
            roster.recordView(relay);
            if (!isRelay()) {
                applyView(content);
            }
        },
        [NewsKind.Members]: ({ relay, members: list }) => {
            roster.addMembers(list);
            roster.recordLife(relay);
            options.memberSink?.recordMembers(list);
            if (list.some(({ life }) => life === self.life)) {
                countedAtMs = clock.readMonotonicMs();
            }
        },
    };
    const handleMessage = (bytes: Buffer, from: SenderAddress) => {
        const message = decodeNews(bytes, from);
        if (message !== undefined) {
            (handlers[message.kind] as (message: NewsMessage) => void)(message);
        }
    };

    const readOwnSuspects = () => mergeSuspects([options.evidence.readEvidence()], sumClearances);
    const buildReport = (): NodeReport => ({
        ...options.readOwnNews(),
        suspects: readOwnSuspects(),
        rollouts: options.rollouts.readReports(),
        limits: options.limits.readLimits(),
        ...self,
        sequence: ++sequence,
        counted: sequence % COUNTS_EVERY_PERIODS === 1 ? options.readCounts() : undefined,
    });
    /** Merges all news, with what this node itself knows of prompt parts: it may be the last one that knows it. */
    const mergeView = (nowMs: number): FleetView => {
        const merged = merger.mergeView(nowMs);
        return { ...merged, suspects: mergeSuspects([merged.suspects, readOwnSuspects()], Math.max) };
    };
    const encodeView = (content: FleetView) => {
        const near = Object.entries(content.endpoints).filter(([id]) => options.isNearEndpoint(id));
        return encodeNews({
            kind: NewsKind.View,
            relay: self.node,
            view: { ...content, endpoints: Object.fromEntries(near) },
        });
    };
    const encodeMembers = () =>
        encodeNews({
            kind: NewsKind.Members,
            relay: self.node,
            members: collector.listMembers(clock.readMonotonicMs()),
        });
    const sendReports = () => {
        const report = buildReport();
        reported = report.endpoints;
        collector.recordReport(report, clock.readMonotonicMs());
        for (const [index, relay] of roster.replaceSilentRelay().entries()) {
            if (relay.node !== self.node) {
                socket.send(encodeNews({ kind: NewsKind.Report, wantsViews: index === 0, report }), relay);
            }
        }
    };
    /** Lists the relays that get this relay's sums: those that it hears, those in the store, and its own choices. */
    const listSummaryTargets = () => {
        const targets = [...roster.listRelays(), ...listStoredRelays(), ...listFreshRelays()];
        return [...new Map(targets.map(target => [target.node, target])).values()].filter(
            ({ node }) => node !== self.node,
        );
    };
    const relayNews = () => {
        const nowMs = clock.readMonotonicMs();
        const lostUsage = merger.readLostUsage();
        const summary = { ...collector.summarize(nowMs), relay: self, sequence, lostUsage };
        merger.recordSummary(summary, nowMs);
        const bytes = encodeNews({ kind: NewsKind.Summary, summary });
        lastSummary = { bytes, atMs: nowMs };
        listSummaryTargets().forEach(target => socket.send(bytes, target));
        if (isLoading()) {
            return;
        }
        const merged = mergeView(nowMs);
        applyView(merged);
        const receivers = collector.listReachable(nowMs).filter(({ node }) => node !== self.node);
        const viewBytes = encodeView(merged);
        const listening = receivers.filter(({ life }) => viewers.has(life));
        listening.forEach(receiver => socket.send(viewBytes, receiver));
        viewers.clear();
        listening.forEach(({ life }) => viewers.add(life));
        if (sequence % MEMBERS_EVERY_PERIODS === 0) {
            const membersBytes = encodeMembers();
            options.memberSink?.recordMembers(collector.listMembers(nowMs));
            // Nodes that fell silent get it as well: after a network partition they find back by it.
            collector
                .listMembers(nowMs)
                .filter(({ node }) => node !== self.node)
                .forEach(receiver => socket.send(membersBytes, receiver));
        }
    };
    /** Runs a step of the exchange; an error in one keeps neither the next step nor the next period. */
    const tryStep = (step: () => void) => {
        try {
            step();
        } catch (error) {
            reportFailure(FailureOwner.News, error);
        }
    };
    const exchangeNews = () => {
        const nowMs = clock.readMonotonicMs();
        const gapMs = nowMs - exchangedAtMs;
        if (socket.isDeaf()) {
            roster.recordStandstill(gapMs);
        } else if (gapMs > STANDSTILL_MS) {
            roster.recordStandstill(gapMs - NEWS_PERIOD_MS);
        }
        exchangedAtMs = nowMs;
        if (hasMembers && !socket.isDeaf()) {
            tryStep(sendReports);
            tryStep(relayIfChosen);
        }
    };
    const relayIfChosen = () => {
        const isRelaying = isRelay();
        if (isRelaying !== wasRelay) {
            log.info(isRelaying ? "relay begins" : "relay ends", {
                members: collector.listMembers(clock.readMonotonicMs()).length,
            });
            wasRelay = isRelaying;
            if (isRelaying && view !== undefined) {
                merger.recordFormerView(view.content, view.atMs, clock.readMonotonicMs());
            }
        }
        if (isRelaying) {
            relayNews();
        }
    };
    const readRowSources = (): RowSources => {
        if (!isRelay()) {
            return { role: RowRole.Node, nodes: roster.listRelays() };
        }
        const others = listFreshRelays();
        const readers = chooseRelays([self, ...others], READER_COUNT);
        if (readers[0]?.node === self.node) {
            return { role: RowRole.Reader, nodes: others };
        }
        return { role: RowRole.Relay, nodes: readers.filter(({ node }) => node !== self.node) };
    };
    const readUsage = (): FleetUsage => {
        const isListed = isFresh(countedAtMs, MEMBER_TIMEOUT_MS - COUNTED_MARGIN_MS);
        const known = view?.content ?? NO_VIEW;
        if (!isInTouch()) {
            return { ...NO_VIEW, nodes: known.nodes, reachable: 1, isCounted: isListed };
        }
        const hasMajority = known.reachable * 2 > known.nodes;
        return { ...known, isCounted: isListed || hasMajority };
    };
    const readSuspects = () => {
        const ofFleet = advanceSuspects(view?.content.suspects ?? {}, clock.readMonotonicMs() - (view?.atMs ?? 0));
        return mergeSuspects([ofFleet, readOwnSuspects()], Math.max);
    };
    const socket = createNewsSocket({ self, handleMessage, log, reportFailure });
    const timer = setInterval(exchangeNews, NEWS_PERIOD_MS);
    return {
        name: "news",
        dumpState: () => ({
            isRelay: isRelay(),
            isInTouch: isInTouch(),
            datagramPort: socket.readState(),
            viewAgeMs: view === undefined ? undefined : Math.round(clock.readMonotonicMs() - view.atMs),
            view: view?.content,
            ownRelays: roster.listRelays().map(({ node }) => node),
            allRelays: merger.listRelays(clock.readMonotonicMs()).map(({ node }) => node),
            members: collector.listMembers(clock.readMonotonicMs()).map(({ node, life }) => ({ node, life })),
        }),
        isLoaded: () => view !== undefined,
        isRelay,
        isOnlyRelay: () => roster.listRelays().every(({ node }) => node === self.node),
        isInTouch,
        readUsage,
        readLoad: service =>
            (isInTouch() ? view?.content.loads[service] : undefined) ??
            options.readOwnNews().loads[service] ?? { tokensPerSecond: 0, inFlight: 0 },
        readRowSources,
        hasUnreachableDomain: () => {
            const heard = new Set(listFreshRelays().map(({ failureDomain }) => failureDomain));
            return options.failureDomains.some(domain => domain !== self.failureDomain && !heard.has(domain));
        },
        listAllRelays: () => [self, ...listFreshRelays()],
        listMembers: () => collector.listMembers(clock.readMonotonicMs()),
        listCounts: collector.listCounts,
        addMembers: list => {
            roster.addMembers(list);
            options.memberSink?.recordKnown(list);
            if (!hasMembers) {
                hasMembers = true;
                exchangeNews();
            }
        },
        addStoredRelays: relays => {
            const listedAtMs = clock.readMonotonicMs();
            for (const { identity, nodes } of relays.filter(({ identity: node }) => isSendableAddress(node))) {
                storedRelays.set(identity.node, { identity, listedAtMs });
                merger.recordStoredCount(identity.failureDomain, nodes, listedAtMs);
            }
        },
        readSuspects,
        addStoredSuspects: suspects =>
            options.evidence.mergeEvidence(mergeSuspects([suspects, readSuspects()], Math.max)),
        recordStored: () => {
            countedAtMs = clock.readMonotonicMs();
        },
        dispose: () => {
            clearInterval(timer);
            socket.dispose();
        },
    };
}
