/**
 * @module The period of load digests.
 */
import {
    DIGEST_BYTES_LIMIT,
    DIGEST_BYTES_PER_SECOND,
    DIGEST_OVERHEAD_BYTES,
    SHORTEST_DIGEST_PERIOD_MS,
} from "./constants";

/**
 * Computes the time between two digests of a node, so that the digests of all nodes together stay within the byte
 * budget of each receiver.
 *
 * @param nodeCount - Number of live nodes
 * @param digestBytes - Size of this node's digest (default: the maximum)
 * @returns Milliseconds
 * @example
 * computeDigestPeriod(400, 34); //=> 18560
 */
export function computeDigestPeriod(nodeCount: number, digestBytes = DIGEST_BYTES_LIMIT): number {
    const bytesPerRound = nodeCount * (digestBytes + DIGEST_OVERHEAD_BYTES);
    return Math.max(SHORTEST_DIGEST_PERIOD_MS, (bytesPerRound * 1_000) / DIGEST_BYTES_PER_SECOND);
}
