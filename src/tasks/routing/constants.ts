/**
 * @module Constants of the routing task.
 */

/** Messages that can be queued for the task. */
export const INBOX_CAPACITY = 16_384;
/** Endpoint choices among them; the remaining capacity is reserved for attempt reports, which must not be lost. */
export const QUEUED_CHOICES_LIMIT = 8_192;
/** Unread notices that a watcher can hold; an endpoint has at most two, leaving and gone. */
export const NOTICES_CAPACITY = 4;
/** Time between two reads of the platform's prices, which change hourly. */
export const PRICE_REFRESH_PERIOD_MS = 60_000;
/** Consecutive failed load reads after which the endpoint is probed on a new connection. */
export const CONSECUTIVE_READ_FAILURES_UNTIL_PROBE = 2;
/** A read that has not been answered for this long may be started again. */
export const READ_TIMEOUT_MS = 10_000;
/** Endpoints per service that a dump shows. */
export const MAXIMUM_DUMPED_ENDPOINTS = 100;
