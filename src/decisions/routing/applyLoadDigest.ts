/**
 * @module Applying load digests of other nodes.
 */
import { HISTORY_STEPS } from "./constants";
import type { LoadDigest } from "./loadDigest";
import type { RoutingState } from "./routingState";

/**
 * Replaces the recorded load of another node.
 *
 * @param state - The state; changed in place
 * @param nodeId - The other node
 * @param digest - Its load, or `undefined` to remove the record
 * @param nowMs - Now, in monotonic milliseconds
 * @example
 * applyLoadDigest(state, update.fromNodeId, decodeLoadDigest(update.payload), nowMs);
 */
export function applyLoadDigest(
    state: RoutingState,
    nodeId: string,
    digest: LoadDigest | undefined,
    nowMs: number,
): void {
    if (nodeId === state.nodeId) {
        return;
    }
    addToDomains(state, state.digests.get(nodeId)?.digest ?? [], -1);
    state.digests.delete(nodeId);
    if (digest !== undefined) {
        addToDomains(state, digest, 1);
        state.digests.set(nodeId, { digest, receivedAtMs: nowMs });
    }
}

function addToDomains(state: RoutingState, digest: LoadDigest, sign: 1 | -1): void {
    for (const { serviceHash, inFlight } of digest) {
        for (const [domainHash, count] of inFlight) {
            const key = serviceHash * 65_536 + domainHash;
            const load = state.domainLoads.get(key) ?? { inFlight: 0, history: new Float64Array(HISTORY_STEPS) };
            load.inFlight += sign * count;
            state.domainLoads.set(key, load);
        }
    }
}
