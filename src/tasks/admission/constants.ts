/**
 * @module Constants of the admission task.
 */

/** Messages that may wait for the task. */
export const INBOX_CAPACITY = 16_384;
/** Arrivals among them; the rest is kept for the ends of requests, which must not be lost. */
export const MAXIMUM_QUEUED_ARRIVALS = 8_192;
/** Time between two looks at the queues; lost work is dropped and changed capacity used this much later at most. */
export const TICK_INTERVAL_MS = 20;
