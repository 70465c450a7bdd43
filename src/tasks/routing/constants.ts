/**
 * @module Constants of the routing task.
 */

/** Messages that may wait for the task. */
export const INBOX_CAPACITY = 16_384;
/** Choices among them; the rest is kept for reports of attempts, which must not be lost. */
export const CHOICES_LIMIT = 8_192;
/** Notices that a watcher may leave unread; an endpoint has at most two, leaving and gone. */
export const NOTICES_CAPACITY = 4;
/** Time between two reads of the platform's prices, which change by the hour. */
export const PRICE_PERIOD_MS = 60_000;
/** Load reports in a row that must fail before the endpoint is probed on a new connection. */
export const FAILED_REPORTS_UNTIL_PROBE = 2;
/** A read without answer for this long is given up and may be repeated. */
export const READ_TIMEOUT_MS = 10_000;
/** Endpoints that a dump shows. */
export const ENDPOINTS_SHOWN = 100;
