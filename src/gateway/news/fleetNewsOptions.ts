/**
 * @module What the exchange of news between nodes is started with.
 */
import type { Clock } from "../../base/clock";
import type { Log } from "../../base/log/log";
import type {
    EndpointActivity,
    LimitReports,
    NodeIdentity,
    NodeReport,
    RolloutReports,
} from "../../decisions/relays/news";
import type { PartEvidenceSource } from "../quarantine/partEvidence";
import type { FailureReporter } from "../process/createFailureReporter";

/** What a node knows of the limits that endpoints name. */
export interface LimitSource {
    /** Gives the limits that this node knows, with itself as a sender where it has requests to send. */
    readLimits(): LimitReports;
    /** Takes what the whole fleet knows, and which nodes may send. */
    mergeLimits(reports: LimitReports): void;
}

/** Takes the members of this node's failure domain; ignores nodes of others. */
export interface MemberSink {
    /** Takes names that the store lists. */
    recordKnown(nodes: readonly NodeIdentity[]): void;
    /** Takes a list of a relay, which may be this node. */
    recordMembers(nodes: readonly NodeIdentity[]): void;
}

/** What a node knows of moves of services to other versions. */
export interface RolloutSource {
    /** Gives this node's own counts, and the phase that it knows of each move. */
    readReports(): RolloutReports;
    /** Takes what the whole fleet knows, this node included. */
    mergeReports(reports: RolloutReports): void;
}

/** What a node reports, and the handlers of what it learns. */
export interface FleetNewsOptions {
    readonly self: NodeIdentity;
    /** Names of all failure domains. */
    readonly failureDomains: readonly string[];
    readonly quotaWindowMs: number;
    /** Gives what this node reports of itself. */
    readonly readOwnNews: () => Pick<NodeReport, "countsForMs" | "usage" | "loads" | "endpoints" | "arrivals">;
    /** Gives this node's usage counts with the cluster time; `undefined` while that time is not agreed. */
    readonly readCounts: () => NodeReport["counted"];
    /** True for endpoints whose activity is sent to the nodes of this failure domain. */
    readonly isNearEndpoint: (endpointId: string) => boolean;
    /** What this node knows of prompt parts that crash endpoints. */
    readonly evidence: PartEvidenceSource;
    /** What this node knows of moves of services to other versions. */
    readonly rollouts: RolloutSource;
    /** What this node knows of the limits that endpoints name. */
    readonly limits: LimitSource;
    readonly memberSink?: MemberSink;
    /** Called with what the other nodes do at endpoints. */
    readonly handleActivity: (activity: ReadonlyMap<string, EndpointActivity>) => void;
    readonly clock: Clock;
    readonly log: Log;
    readonly reportFailure: FailureReporter;
}
