/**
 * @module When to poll the platform next.
 */
import { POLL_JITTER_FRACTION, MAXIMUM_TOTAL_POLLS_PER_SECOND } from "./constants";

/**
 * Computes the wait until the next poll. With many nodes each polls more rarely, and what one learns it tells the rest.
 *
 * @param shortestMs - The wait for a few nodes, in milliseconds
 * @param nodeCount - Live nodes, this one included
 * @param fraction - A random number in [0, 1)
 * @returns Milliseconds
 * @example
 * computePollDelay(500, 400, 0.5); //=> 4000
 */
export function computePollDelay(shortestMs: number, nodeCount: number, fraction: number): number {
    const intervalMs = Math.max(shortestMs, (nodeCount * 1_000) / MAXIMUM_TOTAL_POLLS_PER_SECOND);
    return intervalMs * (1 + POLL_JITTER_FRACTION * (2 * fraction - 1));
}
