/**
 * @module Computes the delay between polls of the platform.
 */
import { POLL_JITTER_FRACTION, MAXIMUM_TOTAL_POLLS_PER_SECOND } from "./constants";

/**
 * Computes the delay until the next poll, with jitter. The more nodes there are, the more rarely each of them polls, so
 * that their total rate stays bounded. Nodes tell each other about departures that they learn of.
 *
 * @param minimumIntervalMs - The interval while there are few nodes, in milliseconds
 * @param nodeCount - Number of live nodes, this one included
 * @param fraction - A random number in [0, 1), which selects the jitter
 * @returns The delay in milliseconds
 * @example
 * computePollDelay(500, 400, 0.5); //=> 4000
 */
export function computePollDelay(minimumIntervalMs: number, nodeCount: number, fraction: number): number {
    const intervalMs = Math.max(minimumIntervalMs, (nodeCount * 1_000) / MAXIMUM_TOTAL_POLLS_PER_SECOND);
    return intervalMs * (1 + POLL_JITTER_FRACTION * (2 * fraction - 1));
}
