/**
 * @module News between nodes: each node reports to the relays of its failure domain, which sum the reports, exchange
 * the sums, and send every node a view of the whole fleet. What a node sends and receives therefore does not grow with
 * the number of nodes.
 *
 * Every node can be a relay: it is one while it is among its own choices or other nodes report to it. A relay holds
 * nothing that must last, and the next choice takes over when it falls silent. `createNewsRelay` does the work of a relay,
 * `createKnownFleet` holds what the views say.
 */
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import type { FleetUsage } from "../../decisions/gateway/accountQuotas";
import { chooseRelays } from "../../decisions/relays/chooseRelays";
import { RowRole } from "../../decisions/relays/chooseRowSource";
import { NEWS_PERIOD_MS } from "../../decisions/relays/constants";
import type { ReportedCounts } from "../../decisions/relays/createReportCollector";
import { mergeSuspects } from "../../decisions/relays/mergeSuspects";
import type { NodeIdentity, NodeReport, ServiceLoad, SuspectParts } from "../../decisions/relays/news";
import { FailureOwner } from "../process/createFailureReporter";
import { createKnownFleet } from "./createKnownFleet";
import { createNewsRelay, type StoredRelay } from "./createNewsRelay";
import { createNewsSocket } from "./createNewsSocket";
import { createRelayRoster } from "./createRelayRoster";
import type { FleetNewsOptions } from "./fleetNewsOptions";
import { decodeNews, encodeNews, NewsKind, type NewsMessage, type SenderAddress } from "./newsCodec";

/** Time between two reports with usage counts, in periods of the news. */
const COUNTS_EVERY_PERIODS = 4;
/** Relays of the whole fleet that read the store: one, and one that is ready to take over. */
const READER_COUNT = 2;
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
    addStoredRelays(relays: readonly StoredRelay[]): void;
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
    const { self, clock, log, reportFailure } = options;
    const roster = createRelayRoster(self, clock, log);
    const known = createKnownFleet(options);
    let sequence = 0;
    let hasMembers = false;
    let exchangedAtMs = clock.readMonotonicMs();
    const relay = createNewsRelay({
        ...options,
        roster,
        known,
        send: (bytes, target) => socket.send(bytes, target),
        readSequence: () => sequence,
    });

    const handlers: { readonly [K in NewsKind]: (message: Extract<NewsMessage, { kind: K }>) => void } = {
        [NewsKind.Report]: ({ report, wantsViews }) => relay.recordReport(report, wantsViews),
        [NewsKind.Summary]: ({ summary }) => relay.recordSummary(summary),
        [NewsKind.View]: ({ relay: sender, view }) => {
            roster.recordView(sender);
            if (!relay.isRelay()) {
                known.applyView(view);
            }
        },
        [NewsKind.Members]: ({ relay: sender, members: list }) => {
            roster.addMembers(list);
            roster.recordLife(sender);
            options.memberSink?.recordMembers(list);
            if (list.some(({ life }) => life === self.life)) {
                known.recordCounted();
            }
        },
    };
    const handleMessage = (bytes: Buffer, from: SenderAddress) => {
        const message = decodeNews(bytes, from);
        if (message !== undefined) {
            (handlers[message.kind] as (message: NewsMessage) => void)(message);
        }
    };

    const buildReport = (): NodeReport => ({
        ...options.readOwnNews(),
        suspects: known.readOwnSuspects(),
        rollouts: options.rollouts.readReports(),
        limits: options.limits.readLimits(),
        ...self,
        sequence: ++sequence,
        counted: sequence % COUNTS_EVERY_PERIODS === 1 ? options.readCounts() : undefined,
    });
    const sendReports = () => {
        const report = buildReport();
        known.recordReported(report.endpoints);
        relay.recordOwnReport(report);
        for (const [index, receiver] of roster.replaceSilentRelay().entries()) {
            if (receiver.node !== self.node) {
                socket.send(encodeNews({ kind: NewsKind.Report, wantsViews: index === 0, report }), receiver);
            }
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
            tryStep(relay.relayIfChosen);
        }
    };
    const readRowSources = (): RowSources => {
        if (!relay.isRelay()) {
            return { role: RowRole.Node, nodes: roster.listRelays() };
        }
        const others = relay.listFreshRelays();
        const readers = chooseRelays([self, ...others], READER_COUNT);
        if (readers[0]?.node === self.node) {
            return { role: RowRole.Reader, nodes: others };
        }
        return { role: RowRole.Relay, nodes: readers.filter(({ node }) => node !== self.node) };
    };
    const socket = createNewsSocket({ self, handleMessage, log, reportFailure });
    const timer = setInterval(exchangeNews, NEWS_PERIOD_MS);
    return {
        name: "news",
        dumpState: () => {
            const view = known.readView();
            return {
                isRelay: relay.isRelay(),
                isInTouch: known.isInTouch(),
                datagramPort: socket.readState(),
                viewAgeMs: view === undefined ? undefined : Math.round(clock.readMonotonicMs() - view.atMs),
                view: view?.content,
                ownRelays: roster.listRelays().map(({ node }) => node),
                allRelays: relay.listKnownRelays().map(({ node }) => node),
                members: relay.listMembers().map(({ node, life }) => ({ node, life })),
            };
        },
        isLoaded: () => known.readView() !== undefined,
        isRelay: relay.isRelay,
        isOnlyRelay: () => roster.listRelays().every(({ node }) => node === self.node),
        isInTouch: known.isInTouch,
        readUsage: known.readUsage,
        readLoad: known.readLoad,
        readRowSources,
        hasUnreachableDomain: () => {
            const heard = new Set(relay.listFreshRelays().map(({ failureDomain }) => failureDomain));
            return options.failureDomains.some(domain => domain !== self.failureDomain && !heard.has(domain));
        },
        listAllRelays: () => [self, ...relay.listFreshRelays()],
        listMembers: relay.listMembers,
        listCounts: relay.listCounts,
        addMembers: list => {
            roster.addMembers(list);
            options.memberSink?.recordKnown(list);
            if (!hasMembers) {
                hasMembers = true;
                exchangeNews();
            }
        },
        addStoredRelays: relay.addStoredRelays,
        readSuspects: known.readSuspects,
        addStoredSuspects: suspects =>
            options.evidence.mergeEvidence(mergeSuspects([suspects, known.readSuspects()], Math.max)),
        recordStored: known.recordCounted,
        dispose: () => {
            clearInterval(timer);
            socket.dispose();
        },
    };
}
