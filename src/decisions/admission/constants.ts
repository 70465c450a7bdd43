/**
 * @module Constants of admission.
 */

/** Requests that may wait on one node; a bound on memory only, the latency target bounds the queue long before. */
export const WAITING_LIMIT = 20_000;
/** Weight of a finished request in the running means of duration and cost; smaller adapts more slowly. */
export const MEAN_WEIGHT = 1 / 32;
/** Share of prompt and maximum output that a request is expected to use before its class has any history. */
export const INITIAL_USE_SHARE = 0.6;
/** Weight of a finished request in the use share of its class. */
export const USE_SHARE_WEIGHT = 1 / 16;
/** Bounds of a retry hint. Below, callers would return before anything changed; above, they would stay away idle. */
export const SHORTEST_RETRY_HINT_MS = 100;
export const LONGEST_RETRY_HINT_MS = 30_000;
/** Retry hints are stretched by up to this share, so that refused callers do not return together. */
export const RETRY_HINT_SPREAD_SHARE = 0.5;
/** Retry hint where no endpoint is live; a replacement is rarely ready sooner. */
export const NO_ENDPOINT_RETRY_HINT_MS = 1_000;
/** Dispatches after which the fair floor watches another account. */
export const FLOOR_WATCH_DISPATCHES = 1_000;
/** A heap is rebuilt when it holds more than this many entries for each valid one, and the spare ones. */
export const VOID_SHARE = 4;
export const VOID_SPARE = 64;
/** Share of the latency target that the margin for errors of the estimate takes at most. */
export const MARGIN_SHARE_LIMIT = 0.4;
