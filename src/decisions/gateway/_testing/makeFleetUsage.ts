/**
 * @module Makes what the quotas know of all nodes, for tests.
 */
import type { FleetUsage } from "../accountQuotas";

/** Makes the usage of a fleet of one node that has charged nothing; `changes` replace single values. */
export function makeFleetUsage(changes: Partial<FleetUsage> = {}): FleetUsage {
    return {
        nodes: 1,
        reachable: 1,
        isCounted: true,
        countsForMs: 0,
        usage: {},
        silentUsage: {},
        lostUsage: {},
        ...changes,
    };
}
