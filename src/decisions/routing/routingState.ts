/**
 * @module The routing state of a node.
 */
import type { Placement, VmRecord } from "../../model/endpoint";
import type { Candidate } from "./candidate";
import type { ChoiceScratch } from "./chooseCandidate";
import type { LoadDigest } from "./loadDigest";
import type { PrefixIndex } from "./prefixIndex";

/** One service and its endpoints. */
export interface ServiceState {
    readonly name: string;
    readonly serviceHash: number;
    /**
     * The live endpoints that this node uses, in a hashed order specific to this node and unrelated to their location.
     */
    candidates: readonly Candidate[];
    readonly index: PrefixIndex;
    /** Attempts of this node in progress, including those at leaving endpoints. */
    inFlight: number;
    /** Number of all live endpoints of the service. */
    liveEndpoints: number;
    /** The same number by 16-bit hash of the failure domain. */
    liveByDomain: ReadonlyMap<number, number>;
    /** Estimated 95th percentile of how much later than estimated first tokens arrive, in milliseconds. */
    estimateErrorMs: number;
    /** Expected cost of arriving requests in tokens a second, and the monotonic time at which it was computed. */
    demandTokensPerSecond: number;
    demandUpdatedAtMs: number;
    /** Share of the endpoints' free slots that this node may take, 0 to 1; updated each tick. */
    demandShare: number;
}

/** An attempt in progress. */
export interface AttemptState {
    readonly candidate: Candidate;
    readonly service: ServiceState;
    readonly route: string;
    /** Estimate of the time to the first token, in milliseconds. */
    readonly estimateMs: number;
    /** Prompt tokens still counted as queued at the endpoint; 0 after the first token. */
    prefillTokens: number;
    hasFirstToken: boolean;
    /** Whether it is the trial attempt of a removed endpoint or route. */
    readonly isTrial: boolean;
    readonly sentAtMs: number;
}

/**
 * Requests that other nodes have in progress at a service in a failure domain, now and at earlier ticks (a ring
 * buffer).
 */
export interface DomainLoad {
    inFlight: number;
    readonly history: Float64Array;
}

/** The latest digest of another node. */
export interface ReceivedDigest {
    readonly digest: LoadDigest;
    readonly receivedAtMs: number;
}

/** The routing state. Changed in place by the functions of this folder; owned by one task. */
export interface RoutingState {
    readonly nodeId: string;
    readonly placement: Placement;
    readonly services: Map<string, ServiceState>;
    /** All known endpoints by id, including leaving ones. */
    readonly candidates: Map<string, Candidate>;
    /** Ids of the VMs that are leaving. */
    leavingIds: ReadonlySet<string>;
    vms: readonly VmRecord[];
    readonly attempts: Map<string, AttemptState>;
    readonly digests: Map<string, ReceivedDigest>;
    /** By the hash of the service times 65,536 plus the hash of the failure domain. */
    readonly domainLoads: Map<number, DomainLoad>;
    /** Number of live nodes, including this one. */
    nodeCount: number;
    /** Number of the latest tick recorded in the histories. */
    lastStep: number;
    readonly scratch: ChoiceScratch;
    readonly counters: { removedEndpoints: number; removedRoutes: number; lostCacheEvents: number };
}
