/**
 * @module The state of a lease before anything is known of it.
 */
import type { LeaseState, LeaseTerms } from "./leaseState";

/**
 * Creates the first state.
 *
 * @param terms - Who the node is and how it counts time
 * @returns A state that knows nothing of the row
 * @example
 * createLeaseState({ holderId: "node-1", durationMs: 10_000, marginMs: 500 });
 */
export function createLeaseState(terms: LeaseTerms): LeaseState {
    return { terms, seen: undefined, held: undefined, sent: [], needsRead: true };
}
