/**
 * @module Periods and bounds of the fleet task.
 */

/** How often steps are considered. */
export const TICK_INTERVAL_MS = 5_000;

/** How often the fleet is planned while no offer changes. */
export const PLAN_INTERVAL_MS = 30_000;

/** Nodes that try to hold the lease: the holder and one that takes over. */
export const LEASE_CANDIDATE_COUNT = 2;

/** Name of the lease. */
export const FLEET_LEASE_NAME = "fleet";

/** Length of the lease. */
export const FLEET_LEASE_DURATION_MS = 20_000;

/** Wait of a new holder before its first step; above the lag of the list, so that it sees its predecessor's VMs. */
export const TAKEOVER_DELAY_MS = 15_000;

/** Longest wait for the table or the cloud; orders that take longer are given again. */
export const CALL_TIMEOUT_MS = 8_000;

/** Spans of the recent demand that are kept apart; the oldest leaves when its time has passed. */
export const DEMAND_BUCKET_MS = 60_000;

/** Least units a second that a declared service is prepared for, so that an idle one is never without VMs. */
export const MINIMUM_UNITS_PER_SECOND = 1;
