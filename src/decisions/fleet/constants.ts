/**
 * @module Periods, shares and bounds of the fleet decisions.
 */

/** Share of its price that a VM must be dearer than another before it is replaced; smaller price changes move nothing. */
export const MINIMUM_REPLACEMENT_SAVING = 0.1;

/** Rounds in which a plan is improved by removing or exchanging VMs; bounds the planning time. */
export const MAXIMUM_IMPROVEMENT_ROUNDS = 400;

/** Offers that are tried as replacements in a round, cheapest per unit first; bounds the planning time. */
export const MAXIMUM_REPLACEMENT_CANDIDATES = 24;

/** Wait after the first refused start of an offer; it doubles with each further one. */
export const INITIAL_REFUSAL_BACKOFF_MS = 30_000;

/** Longest wait after a refused start. */
export const MAXIMUM_REFUSAL_BACKOFF_MS = 1_800_000;

/** Share of the reclaimable VMs of an offer that must be leaving at once to count as a wave. */
export const RECLAIM_WAVE_SHARE = 0.5;

/** How long no reclaimable VM is started where a wave was seen. */
export const RECLAIM_WAVE_BACKOFF_MS = 300_000;

/** Time after which a started VM that the list never showed counts as gone; above the lag of the list and a start. */
export const START_TIMEOUT_MS = 300_000;

/** Time after which an order that didn't show its effect is given again, with the same token. */
export const ORDER_RETRY_INTERVAL_MS = 10_000;

/** Time after which an order to load that never took effect is forgotten, and the VM is stopped or ordered anew. */
export const LOAD_TIMEOUT_MS = 600_000;

/** Time for which a stopped VM is taken as gone though the lagging list still shows it. */
export const STOPPED_RETENTION_MS = 120_000;

/** Time for which the order to stop a VM that no list shows is repeated while the cloud doesn't take it. */
export const STOP_RETRY_TIMEOUT_MS = 3_600_000;

/** Starts, stops and orders to load that one step may hold; bounds the work of a tick and a mistake's effect. */
export const MAXIMUM_STEPS = 32;

/** Share of demand kept free for growth between two plans. */
export const DEMAND_HEADROOM = 0.15;

/** Demand is the highest of this span, so that VMs stay through short lulls. */
export const RECENT_DEMAND_WINDOW_MS = 1_800_000;

/** Recorded bursts are prepared for this long before they begin; above the time to start a VM and load its weights. */
export const PREPARATION_LEAD_MS = 900_000;

/** Weight of the newest week against all earlier ones in recorded demand that falls. */
export const HISTORY_SMOOTHING_FACTOR = 0.3;

/** Share of a service's demand that the new version of a move is prepared for at first. */
export const MINIMUM_PREPARED_SHARE = 0.1;

/** The new version of a move is prepared for this many times its present share. */
export const PREPARED_SHARE_FACTOR = 3;

/** Share of a move's time after which the new version is prepared for all of the demand. */
export const FULL_PREPARATION_PROGRESS = 0.5;
