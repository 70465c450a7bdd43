/**
 * @module The end of a node that can't wait for what is in progress.
 */
import type { DrainedParts } from "./drainNode";

/**
 * Refuses new requests and ends those in progress with failures that say whether they ran.
 *
 * @param parts - The parts of the node
 * @param timeoutMs - Longest time for their answers to be sent
 * @returns The number of requests that it cut
 * @example
 * const cutRequests = await endNode(parts, 2_000);
 */
export async function endNode(parts: DrainedParts, timeoutMs: number): Promise<number> {
    parts.callers.refuseNew();
    const { cut } = await parts.execution.drain(0);
    const [unanswered] = await Promise.all([parts.callers.finish(timeoutMs), parts.operators.finish(timeoutMs)]);
    return cut + unanswered;
}
