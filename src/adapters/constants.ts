/**
 * @module Constants of the adapters: the bounds of every wait on a connection.
 */

/** Longest wait for a connection, a free one or a new one. Several times the slowest link's round trip of 60 ms. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Longest wait between the end of a request and the first byte of its answer. */
export const FIRST_BYTE_TIMEOUT_MS = 3_000;

/** Longest wait between two parts of an answer. Engines send a comment at least every half second. */
export const SILENCE_TIMEOUT_MS = 2_000;

/** Longest time from the head of an answer that is read whole to its end. */
export const WHOLE_ANSWER_TIMEOUT_MS = 60_000;

/** Longest wait for the sign of life of an endpoint. */
export const PROBE_TIMEOUT_MS = 1_000;

/** Open connections to one endpoint or service; further requests wait, up to the connect timeout. */
export const CONNECTIONS_PER_HOST = 512;

/** Idle connections kept open to one endpoint or service. */
export const IDLE_CONNECTIONS_PER_HOST = 16;

/**
 * Age at which an idle connection is closed. Shorter than the 5 seconds after which common servers close theirs: a
 * request on a connection that its server is closing would end with an unknown outcome.
 */
export const IDLE_CONNECTION_MS = 4_000;

/** Largest answer that is read whole; a longer one fails. */
export const LARGEST_ANSWER_BYTES = 64 * 1024 * 1024;

/** Messages of a stream waiting for their reader; while so many wait, the connection is not read. */
export const STREAM_EVENTS_WAITING = 16;

/** Longest line or event of a stream; a longer one fails the stream. */
export const LARGEST_STREAM_EVENT_BYTES = 1024 * 1024;

/** Longest wait for KV cache to move from one runner to another. */
export const TRANSFER_TIMEOUT_MS = 30_000;
