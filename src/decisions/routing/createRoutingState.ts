/**
 * @module Creating the routing state.
 */
import type { Placement } from "../../model/endpoint";
import type { RoutingState } from "./routingState";

/**
 * Creates the state of a node that knows no endpoints yet.
 *
 * @param nodeId - Id of this node
 * @param placement - Its region and failure domain
 * @returns The state
 * @example
 * const state = createRoutingState("node-1", { region: "hobart", failureDomain: "hobart-a" });
 */
export function createRoutingState(nodeId: string, placement: Placement): RoutingState {
    return {
        nodeId,
        placement,
        services: new Map(),
        candidates: new Map(),
        leavingIds: new Set(),
        vms: [],
        attempts: new Map(),
        digests: new Map(),
        domainLoads: new Map(),
        nodeCount: 1,
        lastStep: -1,
        scratch: { candidates: [], scores: [] },
        counters: { removedEndpoints: 0, removedRoutes: 0, lostCacheEvents: 0 },
    };
}
