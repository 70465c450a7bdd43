/**
 * @module Limits and defaults of the callers' face.
 */

/** Tokens an answer may have when the caller states none. */
export const DEFAULT_MAXIMUM_TOKENS = 1_024;

/** Most tokens a caller may ask for; larger wishes are refused, not cut. */
export const LARGEST_MAXIMUM_TOKENS = 131_072;

/** Most messages of one conversation. */
export const LARGEST_MESSAGE_COUNT = 4_096;

/** A reader that takes nothing for this long is cut off, which also frees the runner. */
export const SLOW_READER_TIMEOUT_MS = 30_000;

/** Jobs listed when the caller states no limit. */
export const DEFAULT_JOB_LIST_LENGTH = 20;

/** Most jobs of one page. */
export const LARGEST_JOB_LIST_LENGTH = 100;

/** Longest accepted `Idempotency-Key`, in characters. */
export const LONGEST_IDEMPOTENCY_KEY_CHARACTERS = 255;

/** How often Node looks for connections whose header or body is overdue. */
export const CONNECTION_CHECK_INTERVAL_MS = 500;

/** Largest block of headers a caller may send. */
export const LARGEST_HEADER_BYTES = 16_384;

/** Answer bytes a slow reader may leave unsent in this process before the runner is held back. */
export const RESPONSE_BUFFER_BYTES = 65_536;

/** Longest time for headers and body of a request to arrive, however steadily they trickle in. */
export const LONGEST_ARRIVAL_MS = 300_000;
