/**
 * @module Constants of leases and of orders sent under them.
 */

/** Duration of a lease without renewal. Another node takes over from a dead holder after this time plus the margin. */
export const LEASE_DURATION_MS = 10_000;
/** Renewals per lease duration: one is due after a quarter of it, so that three attempts fit before the lease expires. */
export const RENEWALS_PER_DURATION = 4;
/** Safety margin as a fraction of the duration: tolerates clocks whose rates differ by up to this fraction. */
export const LEASE_SAFETY_MARGIN_FRACTION = 0.05;
/** Timeout of a single store call. */
export const STORE_CALL_TIMEOUT_MS = 2_000;
/** Delay before the next attempt after a failed store call. */
export const RETRY_DELAY_MS = 250;
/**
 * Failed store calls after which an acquisition gives up. Its outcome is reported as unknown if a write is still
 * unconfirmed.
 */
export const MAXIMUM_ACQUIRE_ATTEMPTS = 8;
/** Attempts to write the release; after that the lease is left to expire. */
export const MAXIMUM_RELEASE_ATTEMPTS = 3;
/** Maximum time from the lease check until the order has either reached the endpoint or can no longer reach it. */
export const MAXIMUM_ORDER_DELIVERY_MS = 5_000;
/** Leases whose last observed row is remembered; the least recently used are evicted. */
export const MAXIMUM_REMEMBERED_LEASES = 10_000;
