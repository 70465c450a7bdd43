/**
 * @module The view of a node that has heard of no other.
 */
import type { FleetView } from "../../decisions/relays/news";

/** A fleet of one node, about which nothing is known. */
export const NO_VIEW: FleetView = {
    nodes: 1,
    reachable: 1,
    countsForMs: 0,
    usage: {},
    silentUsage: {},
    lostUsage: {},
    loads: {},
    endpoints: {},
    suspects: {},
    rollouts: {},
    limits: {},
};
