/**
 * @module Constants of the admission task.
 */

/** Messages that the task's inbox holds. */
export const INBOX_CAPACITY = 16_384;
/** Most arrivals in the inbox; the rest is reserved for finished and cancelled requests, which must not be lost. */
export const MAXIMUM_QUEUED_ARRIVALS = 8_192;
/** Interval between checks of the queues; the longest delay until late requests are dropped or new capacity is used. */
export const TICK_INTERVAL_MS = 20;
