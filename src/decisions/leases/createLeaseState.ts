/**
 * @module Creates the initial state of a lease.
 */
import type { LeaseState, LeaseTerms } from "./leaseState";

/**
 * Creates the initial state of a lease, before its row was read.
 *
 * @param terms - This node's id and the lease's times
 * @returns A state without any knowledge of the row
 * @example
 * createLeaseState({ holderId: "node-1", durationMs: 10_000, marginMs: 500 });
 */
export function createLeaseState(terms: LeaseTerms): LeaseState {
    return { terms, seen: undefined, held: undefined, sent: [], needsRead: true };
}
