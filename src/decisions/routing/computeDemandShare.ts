/**
 * @module A node's share of the free slots.
 */
import { MINIMUM_DEMAND_SHARE } from "./constants";
import { readDemand } from "./readDemand";
import type { RoutingState, ServiceState } from "./routingState";

/**
 * Computes the share of the free slots that this node may take at the endpoints it uses: its demand divided by the
 * demand of all nodes that use the same endpoints. Since each node uses a subset, an endpoint is used by
 * `nodes * subset / endpoints` nodes on average.
 *
 * @param state - The state
 * @param service - The service
 * @param nowMs - Now, in monotonic milliseconds
 * @returns 0 to 1
 * @example
 * computeDemandShare(state, service, nowMs);
 */
export function computeDemandShare(state: RoutingState, service: ServiceState, nowMs: number): number {
    const nodesPerEndpoint = Math.max(
        1,
        (state.nodeCount * service.candidates.length) / Math.max(1, service.liveEndpoints),
    );
    const own = readDemand(service, nowMs);
    let others = 0;
    for (const { digest } of state.digests.values()) {
        others += digest.find(entry => entry.serviceHash === service.serviceHash)?.demandTokensPerSecond ?? 0;
    }
    if (state.digests.size === 0 || own + others === 0) {
        return 1 / nodesPerEndpoint;
    }
    const meanOther = others / state.digests.size;
    return Math.max(MINIMUM_DEMAND_SHARE / nodesPerEndpoint, own / (own + meanOther * (nodesPerEndpoint - 1)));
}
