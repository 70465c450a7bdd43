/**
 * @module Intervals and limits of the fleet task.
 */

/** Interval between ticks, at which the next steps are decided. */
export const TICK_INTERVAL_MS = 5_000;

/** Interval between plans while the set of refused offers stays the same. */
export const PLAN_INTERVAL_MS = 30_000;

/** Number of nodes that try to acquire the lease: the holder and a standby. */
export const LEASE_CANDIDATE_COUNT = 2;

/** Name of the fleet lease. */
export const FLEET_LEASE_NAME = "fleet";

/** Duration of the fleet lease. */
export const FLEET_LEASE_DURATION_MS = 20_000;

/** Delay before a new holder's first step; longer than the VM list lags, so that it sees its predecessor's VMs. */
export const TAKEOVER_DELAY_MS = 15_000;

/** Timeout of calls to the table and the cloud; orders that time out are sent again. */
export const CALL_TIMEOUT_MS = 8_000;

/** Width of the buckets in which recent demand is recorded. */
export const DEMAND_BUCKET_MS = 60_000;

/** Minimum demand for which a declared service is planned, so that an idle one keeps VMs. */
export const MINIMUM_UNITS_PER_SECOND = 1;
