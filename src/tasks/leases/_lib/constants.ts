/**
 * @module Durations of leases and orders.
 */

/** How long a lease lasts without renewal. A dead holder's work is taken over after this and the margin. */
export const LEASE_DURATION_MS = 10_000;
/** Parts of a lease's duration after which it is renewed: three tries fit before it lapses. */
export const RENEWALS_PER_DURATION = 4;
/** Share of the duration kept as margin: covers clocks that run apart by up to this share. */
export const LEASE_MARGIN_SHARE = 0.05;
/** Bound on any single wait for the store. */
export const STORE_CALL_TIMEOUT_MS = 2_000;
/** Wait after a step that the store did not answer. */
export const RETRY_DELAY_MS = 250;
/** Tries to settle an acquisition whose answers are lost, before its outcome is reported as unknown. */
export const ACQUIRE_TRIES = 8;
/** Tries to write the release; after that the lease lapses by itself. */
export const RELEASE_TRIES = 3;
/** Longest time from the check of a lease until its order has reached the endpoint or never will. */
export const ORDER_FLIGHT_MAX_MS = 5_000;
/** Leases of other nodes whose rows are remembered. */
export const OBSERVATIONS_MAX = 10_000;
