/**
 * @module Constants of admission.
 */

/** Requests that may wait on one node. This only limits memory; latency targets limit the queue long before. */
export const WAITING_LIMIT = 20_000;
/** Weight of a finished request in the moving averages of duration and cost. */
export const MEAN_WEIGHT = 1 / 32;
/** Share of prompt plus maximum output that a request is expected to use before its class has any history. */
export const INITIAL_USE_SHARE = 0.6;
/** Weight of a finished request in the moving average of the used share of its class. */
export const USE_SHARE_WEIGHT = 1 / 16;
/**
 * Bounds of a retry hint. With shorter hints callers would retry before anything has changed; with longer ones they
 * would wait although capacity is free.
 */
export const SHORTEST_RETRY_HINT_MS = 100;
export const LONGEST_RETRY_HINT_MS = 30_000;
/** Retry hints are lengthened by up to this share, so that refused callers don't all retry at the same time. */
export const RETRY_HINT_SPREAD_SHARE = 0.5;
/** Retry hint if no endpoint is live; a replacement is rarely ready sooner. */
export const NO_ENDPOINT_RETRY_HINT_MS = 1_000;
/** Dispatches after which the fair share check moves on to another account. */
export const FAIR_SHARE_CHECK_DISPATCHES = 1_000;
/**
 * A heap is rebuilt without its stale entries when it holds more entries than this ratio of valid ones, plus the
 * allowance.
 */
export const STALE_ENTRIES_RATIO = 4;
export const STALE_ENTRIES_ALLOWANCE = 64;
/** Upper limit of the margin for estimation errors, as a share of the latency target. */
export const ERROR_MARGIN_SHARE_LIMIT = 0.4;
