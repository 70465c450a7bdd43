/**
 * @module What a node tells the others of its load.
 */

/** Load of one node on one service. */
export interface ServiceDigest {
    /** 16-bit hash of the service's name. */
    readonly serviceHash: number;
    /** Tokens of cost a second that arrive at the node for the service. */
    readonly demandTokensPerSecond: number;
    /** Requests in progress, by 16-bit hash of the failure domain. */
    readonly inFlight: ReadonlyMap<number, number>;
}

/** Load of one node. */
export type LoadDigest = readonly ServiceDigest[];
