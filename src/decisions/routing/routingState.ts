/**
 * @module All that routing knows on one node.
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
    /** The live endpoints this node uses, in an order of its own that is unrelated to where they stand. */
    candidates: readonly Candidate[];
    readonly index: PrefixIndex;
    /** Attempts of this node in progress, those at leaving endpoints included. */
    inFlight: number;
    /** All live endpoints of the service, and their number by 16-bit hash of the failure domain. */
    liveEndpoints: number;
    liveByDomain: ReadonlyMap<number, number>;
    /** Time by which 95 in 100 first tokens come later than estimated, at most. */
    errorMs: number;
    /** Arriving tokens of cost a second, and when that was computed. */
    demandTokensPerSecond: number;
    demandAtMs: number;
    /** Share of its endpoints' free slots that this node may take; renewed each tick. */
    demandShare: number;
}

/** An attempt in progress. */
export interface AttemptState {
    readonly candidate: Candidate;
    readonly service: ServiceState;
    readonly route: string;
    /** Estimate of the time to the first token, in milliseconds. */
    readonly estimateMs: number;
    /** Prompt tokens still counted at the endpoint; 0 after the first token. */
    prefillTokens: number;
    hasFirstToken: boolean;
    /** Whether it decides on the return of its endpoint or route. */
    readonly isTrial: boolean;
    readonly sentAtMs: number;
}

/** Requests that other nodes have in progress at a service in a failure domain, now and at earlier ticks. */
export interface DomainLoad {
    inFlight: number;
    readonly history: Float64Array;
}

/** A digest of another node. */
export interface ReceivedDigest {
    readonly digest: LoadDigest;
    readonly receivedAtMs: number;
}

/** The state of routing. Changed in place by the functions of this folder; owned by one task. */
export interface RoutingState {
    readonly nodeId: string;
    readonly placement: Placement;
    readonly services: Map<string, ServiceState>;
    /** Every known endpoint, leaving ones included. */
    readonly candidates: Map<string, Candidate>;
    /** Ids of endpoints known to be leaving. */
    leavingIds: ReadonlySet<string>;
    vms: readonly VmRecord[];
    readonly attempts: Map<string, AttemptState>;
    readonly digests: Map<string, ReceivedDigest>;
    /** By service hash times 65,536 plus domain hash. */
    readonly domainLoads: Map<number, DomainLoad>;
    /** Live nodes, this one included. */
    nodeCount: number;
    /** Number of the last tick that the histories hold. */
    lastStep: number;
    readonly scratch: ChoiceScratch;
    readonly counters: { removedEndpoints: number; removedRoutes: number; lostCacheEvents: number };
}
