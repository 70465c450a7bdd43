/**
 * @module The news that nodes exchange through relays.
 *
 * All of it is state and not change: each message replaces the former one of its sender. A lost, repeated or late
 * message, or a change of relay, therefore neither counts anything twice nor loses it.
 */
import type { RolloutPhase } from "../../model/gateway";
import type { CellCounts } from "../versions/versionEvidence";

/** Load that some nodes put on a service. */
export interface ServiceLoad {
    /** Prompt tokens of the arriving requests per second, without those assumed to be cached at the endpoint. */
    readonly tokensPerSecond: number;
    /** Requests in progress. */
    readonly inFlight: number;
}

/** Usage of an account by some nodes. */
export interface UsageSums {
    /** Charged in the current quota window. */
    readonly used: number;
    /** Charged most recently, within `RECENT_USAGE_MS`. */
    readonly recent: number;
    /** Asked for within the same time, by refused requests as well. */
    readonly asked: number;
}

/** What some nodes do at an endpoint. */
export interface EndpointActivity {
    /** Requests in progress. */
    readonly inFlight: number;
    /** Uncached prompt tokens of those requests that have no first part of an answer yet. */
    readonly pendingTokens: number;
}

/** Evidence on whether requests with a prompt part crash endpoints. */
export interface PartEvidence {
    /**
     * Age in milliseconds of each crash of an endpoint that a request with this part may have caused, by the key of the
     * crash. Nodes pass on all crashes that they know; the greater age counts, so that no crash becomes younger thereby.
     */
    readonly crashes: Readonly<Record<string, number>>;
    /** Answers with this part that began after the oldest of those crashes at an endpoint that lived on. */
    readonly clearances: number;
    /** Answers with this part that began before it at an endpoint that lived on. */
    readonly earlierClearances: number;
}

/** Evidence by prompt part; only parts with a crash are in it. */
export type SuspectParts = Readonly<Record<string, PartEvidence>>;

/** What nodes know of an ordered move of a service to another version. */
export interface RolloutReport {
    /** Revision of the order. */
    readonly order: number;
    readonly phase: RolloutPhase;
    /** Attempts at both versions since the order; empty once the move has ended. */
    readonly cells: readonly CellCounts[];
}

/** Reports on moves, by service. */
export type RolloutReports = Readonly<Record<string, RolloutReport>>;

/** What the newest answer of an endpoint says of its limit. */
export interface LimitReport {
    /** Requests a second from all nodes together; `undefined` if the endpoint names no limit any more. */
    readonly perSecond: number | undefined;
    /** Cluster time of that answer. */
    readonly atMs: number;
    /** The nodes that may send to the endpoint while it has a limit. */
    readonly senders: readonly string[];
}

/** Limits by endpoint and its start. */
export type LimitReports = Readonly<Record<string, LimitReport>>;

/** Values that are summed over nodes. */
export interface NewsSums {
    /** Longest time for which one of the nodes has counted usage, in milliseconds; at most one quota window. */
    readonly countsForMs: number;
    readonly usage: Readonly<Record<string, UsageSums>>;
    readonly loads: Readonly<Record<string, ServiceLoad>>;
    readonly endpoints: Readonly<Record<string, EndpointActivity>>;
    /**
     * Requests that reached the admission within ten seconds, refused ones included, by service. Only services with admission are
     * in it; absent if there are none.
     */
    readonly arrivals?: Readonly<Record<string, number>>;
    /** Prompt parts that may crash endpoints. */
    readonly suspects: SuspectParts;
    readonly rollouts: RolloutReports;
    readonly limits: LimitReports;
}

/** Identity of a node and its address for news. */
export interface NodeIdentity {
    readonly node: string;
    /** Incarnation: identifies one start of the node's process. */
    readonly life: string;
    readonly failureDomain: string;
    readonly address: string;
    readonly port: number;
    /** Relative strength of its machine. */
    readonly capacity: number;
}

/** Usage counts by window number and account. */
export type WindowCounts = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** The periodic report of a node to its relays. */
export interface NodeReport extends NewsSums, NodeIdentity {
    /** Increases with each report of one life. */
    readonly sequence: number;
    /** Usage counts with the cluster time at which they were read; absent in most reports, to save bytes. */
    readonly counted: { readonly atMs: number; readonly windows: WindowCounts } | undefined;
}

/** The sums of one failure domain, by one of its relays. */
export interface DomainSummary extends NewsSums {
    readonly relay: NodeIdentity;
    readonly sequence: number;
    /** Live nodes, those that fell silent recently included. */
    readonly nodes: number;
    /** Nodes whose reports are in the sums. */
    readonly reachable: number;
    /** Usage in the current window by nodes that fell silent, by account. */
    readonly silentUsage: Readonly<Record<string, number>>;
    /** Usage in the current window, in any failure domain, of nodes that were killed with their relays, by account. */
    readonly lostUsage: Readonly<Record<string, number>>;
}

/** What is known of all nodes. */
export interface FleetView extends NewsSums {
    readonly nodes: number;
    readonly reachable: number;
    readonly silentUsage: Readonly<Record<string, number>>;
    /** Usage of nodes that were killed with their relays, as far as any relay knows it. */
    readonly lostUsage: Readonly<Record<string, number>>;
}
