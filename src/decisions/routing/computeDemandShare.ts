/**
 * @module A node's share of what is free.
 */
import { LEAST_DEMAND_SHARE } from "./constants";
import { readDemand } from "./readDemand";
import type { RoutingState, ServiceState } from "./routingState";

/**
 * Computes the share of its endpoints' free slots that this node may take: its demand over that of all nodes that use
 * the same endpoints. With subsets an endpoint is used by `nodes * subset / endpoints` nodes.
 *
 * @param state - The state
 * @param service - The service
 * @param nowMs - Now, in monotonic milliseconds
 * @returns 0 to 1
 * @example
 * computeDemandShare(state, service, nowMs);
 */
export function computeDemandShare(state: RoutingState, service: ServiceState, nowMs: number): number {
    const users = Math.max(1, (state.nodeCount * service.candidates.length) / Math.max(1, service.liveEndpoints));
    const own = readDemand(service, nowMs);
    let others = 0;
    for (const { digest } of state.digests.values()) {
        others += digest.find(entry => entry.serviceHash === service.serviceHash)?.demandTokensPerSecond ?? 0;
    }
    if (state.digests.size === 0 || own + others === 0) {
        return 1 / users;
    }
    const meanOther = others / state.digests.size;
    return Math.max(LEAST_DEMAND_SHARE / users, own / (own + meanOther * (users - 1)));
}
