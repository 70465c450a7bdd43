/**
 * @module Intervals, shares and limits of the fleet decisions.
 */

/** Share of its price that a replacement must save before a VM is replaced; smaller price changes replace none. */
export const MINIMUM_REPLACEMENT_SAVING = 0.1;

/** Rounds in which a plan is improved by removing or swapping a VM; bounds the planning time. */
export const MAXIMUM_IMPROVEMENT_ROUNDS = 400;

/** Capacity pools tried as replacements in a round, cheapest per unit first; bounds the planning time. */
export const MAXIMUM_REPLACEMENT_CANDIDATES = 24;

/** Backoff after the first refused start of an offer; it doubles with each further refusal. */
export const INITIAL_REFUSAL_BACKOFF_MS = 30_000;

/** Upper bound of the backoff after a refused start. */
export const MAXIMUM_REFUSAL_BACKOFF_MS = 1_800_000;

/** Share of the reclaimable VMs of an offer that must be leaving at the same time to count as a reclaim wave. */
export const RECLAIM_WAVE_SHARE = 0.5;

/** Time for which no reclaimable VM of an offer is started after a reclaim wave. */
export const RECLAIM_WAVE_BACKOFF_MS = 300_000;

/** Time after which a start whose VM never appeared in the list has failed; above start time plus list lag. */
export const START_TIMEOUT_MS = 300_000;

/** Time after which an order without a visible effect is sent again, with the same token. */
export const ORDER_RETRY_INTERVAL_MS = 10_000;

/** Time after which an order to load without effect is given up; the VM is then stopped or gets a new order. */
export const LOAD_TIMEOUT_MS = 600_000;

/** Time for which an accepted stop is kept after its stop time, since the lagging list may show the VM again. */
export const STOPPED_RETENTION_MS = 120_000;

/** Time for which the order to stop a VM that the list doesn't show is retried until the cloud accepts it. */
export const STOP_RETRY_TIMEOUT_MS = 3_600_000;

/** Limit on retries and new starts and loads in a decision, and again on new drains; bounds the effect of a mistake. */
export const MAXIMUM_STEPS = 32;

/** Capacity added for growth between two plans, as a share of the demand. */
export const DEMAND_HEADROOM = 0.15;

/** Window whose peak counts as recent demand, so that VMs are kept through short lulls. */
export const RECENT_DEMAND_WINDOW_MS = 1_800_000;

/** Recorded peaks are prepared for this long before they begin; above the time to start a VM and load its weights. */
export const PREPARATION_LEAD_MS = 900_000;

/** Weight of a new, lower peak in the moving average of recorded demand. Higher peaks replace the average at once. */
export const HISTORY_SMOOTHING_FACTOR = 0.3;

/** Smallest share of a service's demand that capacity is prepared for on the new version of a version move. */
export const MINIMUM_PREPARED_SHARE = 0.1;

/** Capacity of a move's new version is prepared for this many times the version's present share of traffic. */
export const PREPARED_SHARE_FACTOR = 3;

/** Elapsed part of a move's planned duration from which the new version is prepared for all of the demand. */
export const FULL_PREPARATION_PROGRESS = 0.5;
