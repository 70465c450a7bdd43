/**
 * @module Constants of the moves of streams away from a leaving endpoint.
 */

/** Everything that needs the leaving endpoint ends this long before it goes. Covers the lag of clocks and notices. */
export const RECLAIM_MARGIN_MS = 500;

/** Share of the survivors' prefill speed that moved streams may take; the rest stays with their own work. */
export const RECLAIM_PREFILL_SHARE = 0.3;

/** Fixed time of an export with its import, besides the bytes, in milliseconds. */
export const TRANSFER_SETUP_MS = 40;
