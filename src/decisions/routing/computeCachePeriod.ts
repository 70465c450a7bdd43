/**
 * @module The polling period of cache events.
 */
import { computeBudgetFactor } from "./_lib/computeBudgetFactor";
import {
    CACHE_EVENT_BYTES,
    CACHE_EVENT_BYTES_PER_SECOND,
    LONGEST_CACHE_PERIOD_MS,
    SHORTEST_CACHE_PERIOD_MS,
} from "./constants";

/**
 * Computes the time until an endpoint's cache events are read again. The period grows with the number of events, so
 * that the reads stay within the byte budget. Events lost between two reads show as a gap in the sequence numbers.
 *
 * @param endpointCount - Number of endpoints that this node uses
 * @param eventCount - Number of events in the last read
 * @param nodeCount - Number of live nodes
 * @returns Milliseconds
 * @example
 * computeCachePeriod(13, 40, 7); //=> 7800
 */
export function computeCachePeriod(endpointCount: number, eventCount: number, nodeCount: number): number {
    const bytesPerSecond = CACHE_EVENT_BYTES_PER_SECOND * computeBudgetFactor(nodeCount);
    const periodMs = (endpointCount * eventCount * CACHE_EVENT_BYTES * 1_000) / bytesPerSecond;
    return Math.min(LONGEST_CACHE_PERIOD_MS, Math.max(SHORTEST_CACHE_PERIOD_MS, periodMs));
}
