/**
 * @module Computes how many requests a node may run at the endpoints of a service.
 */
import type { NodeSeats } from "./serviceQueue";

/** An endpoint that takes requests. */
export interface EndpointOccupancy {
    readonly slots: number;
    /** Requests of other nodes there by the state reports, with the time since they arrived. */
    readonly reported: TimedCount | undefined;
    /** The same by the load that it named in its last response, with the time since then. */
    readonly named: TimedCount | undefined;
}

/** A number that was known some time ago. */
export interface TimedCount {
    readonly count: number;
    readonly ageMs: number;
}

/** What a node knows of itself. */
export interface NodeState {
    /** Requests of this node that hold a seat. */
    readonly running: number;
    /** Its share of the capacity, from 0 to 1. */
    readonly share: number;
    /** True if an endpoint has recently refused a request. */
    readonly isRefused: boolean;
}

/** Typical age of a state report when it arrives, and the age after which reports and named loads count no more. */
const REPORT_DELAY_MS = 500;
const KNOWLEDGE_MAX_MS = 2_000;
/** Seats for each slot; above 1, since uneven endpoints would otherwise have idle slots while others queue. */
const SEATS_PER_SLOT = 1.25;
/** Share of occupied slots from which the endpoints count as nearly full. */
const NEAR_FULL_SHARE = 0.85;
/**
 * Computes the seats of a node: its share of all slots, and the same share of what the other nodes leave unused beyond
 * that. Shares of all nodes add up to about 1, so that nodes with the same old reports don't all take the same slot.
 *
 * @param endpoints - The endpoints that take requests
 * @param node - The requests and the share of this node
 * @returns The seats
 * @example
 * computeNodeSeats([{ slots: 8, reported, named }], { running: 4, share: 0.3, isRefused: false });
 */
export function computeNodeSeats(endpoints: readonly EndpointOccupancy[], node: NodeState): NodeSeats {
    const { running, share, isRefused } = node;
    const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);
    const seats = slots * SEATS_PER_SLOT;
    const others = endpoints.reduce((sum, endpoint) => sum + readOthers(endpoint), 0);
    const unused = Math.max(0, seats - others - share * seats);
    return {
        isNearFull: isRefused || others + running >= NEAR_FULL_SHARE * slots,
        seats: share * (seats + unused),
        running,
        free: seats - others - running,
    };
}

/** Gives the newer of what the state reports and the endpoint itself say of the other nodes' requests. */
function readOthers({ reported, named }: EndpointOccupancy): number {
    const reportedAgeMs = (reported?.ageMs ?? Infinity) + REPORT_DELAY_MS;
    const newest = (named?.ageMs ?? Infinity) <= reportedAgeMs ? named : reported;
    return newest === undefined || newest.ageMs > KNOWLEDGE_MAX_MS ? 0 : Math.max(0, newest.count);
}
