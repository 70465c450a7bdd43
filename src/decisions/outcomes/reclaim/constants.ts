/**
 * @module Constants of the moves of streams off a leaving endpoint, one whose VM is being reclaimed.
 */

/**
 * Work that needs the leaving endpoint must end this long before the endpoint goes, in milliseconds. Covers clock skew
 * and delayed notices.
 */
export const RECLAIM_MARGIN_MS = 500;

/** Fraction of the surviving runners' prefill speed for moved streams; the rest is left to their own requests. */
export const RECLAIM_PREFILL_SHARE = 0.3;

/** Fixed overhead of exporting and importing a KV cache, in addition to the time per byte, in milliseconds. */
export const TRANSFER_SETUP_MS = 40;
