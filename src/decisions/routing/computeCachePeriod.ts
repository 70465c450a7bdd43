/**
 * @module How often cache events are read.
 */
import { computeBudgetFactor } from "./_lib/computeBudgetFactor";
import {
    CACHE_EVENT_BYTES,
    CACHE_EVENT_BYTES_PER_SECOND,
    LONGEST_CACHE_PERIOD_MS,
    SHORTEST_CACHE_PERIOD_MS,
} from "./constants";

/**
 * Computes the time until an endpoint's cache events are read again: the more there were, the later, so that the reads
 * stay inside the byte budget. Events lost in between show as a gap in the sequence numbers.
 *
 * @param endpointCount - Endpoints that this node uses
 * @param eventCount - Events of the last read
 * @param nodeCount - Live nodes
 * @returns Milliseconds
 * @example
 * computeCachePeriod(13, 40, 7); //=> 7800
 */
export function computeCachePeriod(endpointCount: number, eventCount: number, nodeCount: number): number {
    const bytesPerSecond = CACHE_EVENT_BYTES_PER_SECOND * computeBudgetFactor(nodeCount);
    const periodMs = (endpointCount * eventCount * CACHE_EVENT_BYTES * 1_000) / bytesPerSecond;
    return Math.min(LONGEST_CACHE_PERIOD_MS, Math.max(SHORTEST_CACHE_PERIOD_MS, periodMs));
}
