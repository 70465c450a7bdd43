/**
 * @module The summary of a node's load that it sends to other nodes.
 */

/** Load of one node on one service. */
export interface ServiceDigest {
    /** 16-bit hash of the service's name. */
    readonly serviceHash: number;
    /** Expected cost of the requests that arrive at the node for the service, in tokens a second. */
    readonly demandTokensPerSecond: number;
    /** Requests in progress, by 16-bit hash of the failure domain. */
    readonly inFlight: ReadonlyMap<number, number>;
}

/** Load of one node. */
export type LoadDigest = readonly ServiceDigest[];
