/**
 * @module The work of a relay: sums the reports of its failure domain, exchanges the sums with other relays, and sends
 * views of the whole fleet and lists of members to the nodes that report to it.
 */
import { MEMBER_TIMEOUT_MS, UNREACHABLE_AFTER_MS } from "../../decisions/relays/constants";
import { createReportCollector, type ReportedCounts } from "../../decisions/relays/createReportCollector";
import { createSummaryMerger } from "../../decisions/relays/createSummaryMerger";
import { mergeSuspects } from "../../decisions/relays/mergeSuspects";
import type { FleetView, NodeIdentity, NodeReport } from "../../decisions/relays/news";
import type { KnownFleet } from "./createKnownFleet";
import type { RelayRoster } from "./createRelayRoster";
import type { FleetNewsOptions } from "./fleetNewsOptions";
import { isSendableAddress } from "./isSendableAddress";
import type { DatagramPort } from "./openDatagramPort";
import { encodeNews, NewsKind, type NewsMessage } from "./newsCodec";

/** A node stops acting as a relay when nobody has reported to it for this long. */
const RELAY_UNUSED_MS = 3_000;
/** Time between two lists of members, in periods of the news. */
const MEMBERS_EVERY_PERIODS = 8;
/** A relay that has just started waits for the news of another one for so many periods at most. */
const LOADING_PERIODS_MAX = 3;

/** The sums that a relay sends to other relays. */
type Summary = Extract<NewsMessage, { kind: NewsKind.Summary }>["summary"];

/** A relay with the number of nodes that it counts, as the store has it. */
export interface StoredRelay {
    readonly identity: NodeIdentity;
    readonly nodes: number;
}

/** The part of a node that can relay. */
export interface NewsRelay {
    /** True while this node relays for others or for itself. */
    isRelay(): boolean;
    /** Takes a report of a node of the failure domain, which may want views. */
    recordReport(report: NodeReport, wantsViews: boolean): void;
    /** Takes the report of this node. */
    recordOwnReport(report: NodeReport): void;
    /** Takes the sums of another relay. */
    recordSummary(summary: Summary): void;
    /** Takes relays from the store. */
    addStoredRelays(relays: readonly StoredRelay[]): void;
    /** Relays the news of a period if this node is a relay. */
    relayIfChosen(): void;
    /** Lists the other relays whose sums arrived recently. */
    listFreshRelays(): readonly NodeIdentity[];
    /** Lists all relays whose sums are known, this node included while it is one. */
    listKnownRelays(): readonly NodeIdentity[];
    /** Lists the live nodes that report to this relay, itself included. */
    listMembers(): readonly NodeIdentity[];
    /** Lists the usage counts of all incarnations that reported to this relay. */
    listCounts(): readonly ReportedCounts[];
}

/** What a relay works with. */
export interface NewsRelayOptions extends Pick<
    FleetNewsOptions,
    "self" | "quotaWindowMs" | "isNearEndpoint" | "memberSink" | "clock" | "log"
> {
    readonly roster: RelayRoster;
    readonly known: KnownFleet;
    readonly send: DatagramPort["send"];
    /** Gives the number of this node's last report. */
    readonly readSequence: () => number;
}

/**
 * Creates the relay of a node to which nobody has reported.
 *
 * @param options - Identity of this node, and dependencies
 * @returns The relay
 * @example
 * relay.recordOwnReport(report);
 * relay.relayIfChosen();
 */
export function createNewsRelay(options: NewsRelayOptions): NewsRelay {
    const { self, clock, log, quotaWindowMs, roster, known, send, readSequence } = options;
    const collector = createReportCollector(quotaWindowMs);
    const merger = createSummaryMerger(quotaWindowMs);
    const storedRelays = new Map<string, { readonly identity: NodeIdentity; readonly listedAtMs: number }>();
    const viewers = new Set<string>();
    let askedAtMs = Number.NEGATIVE_INFINITY;
    let lastSummary: { readonly bytes: Buffer; readonly atMs: number } | undefined;
    let hasHeardLoaded = false;
    let wasRelay = false;

    const isFresh = (atMs: number, withinMs: number) => clock.readMonotonicMs() - atMs < withinMs;
    const isRelay = () =>
        isFresh(askedAtMs, RELAY_UNUSED_MS) || roster.listRelays().some(({ node }) => node === self.node);
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
        return (
            known.readView() === undefined && readSequence() <= LOADING_PERIODS_MAX && !hasHeardLoaded && !hasHeardAll
        );
    };

    /** Merges all news, with what this node itself knows of prompt parts: it may be the last one that knows it. */
    const mergeView = (nowMs: number): FleetView => {
        const merged = merger.mergeView(nowMs);
        return { ...merged, suspects: mergeSuspects([merged.suspects, known.readOwnSuspects()], Math.max) };
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
        const summary = { ...collector.summarize(nowMs), relay: self, sequence: readSequence(), lostUsage };
        merger.recordSummary(summary, nowMs);
        const bytes = encodeNews({ kind: NewsKind.Summary, summary });
        lastSummary = { bytes, atMs: nowMs };
        listSummaryTargets().forEach(target => send(bytes, target));
        if (isLoading()) {
            return;
        }
        const merged = mergeView(nowMs);
        known.applyView(merged);
        const receivers = collector.listReachable(nowMs).filter(({ node }) => node !== self.node);
        const viewBytes = encodeView(merged);
        const listening = receivers.filter(({ life }) => viewers.has(life));
        listening.forEach(receiver => send(viewBytes, receiver));
        viewers.clear();
        listening.forEach(({ life }) => viewers.add(life));
        if (readSequence() % MEMBERS_EVERY_PERIODS === 0) {
            const membersBytes = encodeMembers();
            options.memberSink?.recordMembers(collector.listMembers(nowMs));
            // Nodes that fell silent get it as well: after a network partition they find back by it.
            collector
                .listMembers(nowMs)
                .filter(({ node }) => node !== self.node)
                .forEach(receiver => send(membersBytes, receiver));
        }
    };
    const relayIfChosen = () => {
        const isRelaying = isRelay();
        if (isRelaying !== wasRelay) {
            log.info(isRelaying ? "relay begins" : "relay ends", {
                members: collector.listMembers(clock.readMonotonicMs()).length,
            });
            wasRelay = isRelaying;
            const view = known.readView();
            if (isRelaying && view !== undefined) {
                merger.recordFormerView(view.content, view.atMs, clock.readMonotonicMs());
            }
        }
        if (isRelaying) {
            relayNews();
        }
    };
    return {
        isRelay,
        recordReport: (report, wantsViews) => {
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
                send(encodeMembers(), report);
                if (!isLoading()) {
                    send(encodeView(mergeView(nowMs)), report);
                }
            }
        },
        recordOwnReport: report => collector.recordReport(report, clock.readMonotonicMs()),
        recordSummary: summary => {
            if (summary.relay.node === self.node) {
                return;
            }
            const isNew = !listFreshRelays().some(({ life }) => life === summary.relay.life);
            merger.recordSummary(summary, clock.readMonotonicMs());
            hasHeardLoaded ||= summary.sequence > LOADING_PERIODS_MAX;
            if (isNew && lastSummary !== undefined && isFresh(lastSummary.atMs, UNREACHABLE_AFTER_MS)) {
                send(lastSummary.bytes, summary.relay);
            }
        },
        addStoredRelays: relays => {
            const listedAtMs = clock.readMonotonicMs();
            for (const { identity, nodes } of relays.filter(({ identity: node }) => isSendableAddress(node))) {
                storedRelays.set(identity.node, { identity, listedAtMs });
                merger.recordStoredCount(identity.failureDomain, nodes, listedAtMs);
            }
        },
        relayIfChosen,
        listFreshRelays,
        listKnownRelays: () => merger.listRelays(clock.readMonotonicMs()),
        listMembers: () => collector.listMembers(clock.readMonotonicMs()),
        listCounts: collector.listCounts,
    };
}
