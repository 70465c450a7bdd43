/**
 * @module Constants of request execution.
 */
import type { ReclaimTerms } from "../../decisions/outcomes/reclaim/reclaimMove";

/** Answer events buffered for a slow reader; when the buffer is full, the runner's connection is not read. */
export const ANSWER_CHANNEL_CAPACITY = 16;

/** Buffered messages to one execution from timers, its caller and calls in progress; further senders wait. */
export const CONTROL_CHANNEL_CAPACITY = 8;

/** Estimates prompt tokens where no tokenizer is available; admission charges by the estimate. */
export const CHARACTERS_PER_TOKEN = 4;

/** Tokens per prefix hash; the engines' cache events use the same block size. */
export const PREFIX_BLOCK_TOKENS = 64;

/** Route name of chat requests in health records and in version comparison. */
export const CHAT_ROUTE = "/v1/chat/completions";

/** Leading path segments that name the route of a service call; the others may differ with each call. */
export const SERVICE_ROUTE_SEGMENTS = 2;

/** A stream without an event for this long is retried on a new connection, at the same or another endpoint. */
export const STREAM_IDLE_TIMEOUT_MS = 3_000;

/** Fraction of the idle timeout after which the endpoint is probed on a new connection. */
export const PROBE_DELAY_FRACTION = 0.5;

/** Idle timeout before the first token, as a multiple of its estimated time; at least `STREAM_IDLE_TIMEOUT_MS`. */
export const FIRST_TOKEN_TIMEOUT_FACTOR = 4;

/**
 * Extends the timeout of the first token at an endpoint that has answered a probe: a long queue or prompt may delay it.
 */
export const ALIVE_ENDPOINT_TIMEOUT_FACTOR = 4;

/** Idle timeout at an endpoint that is reported to be gone. */
export const GONE_ENDPOINT_IDLE_TIMEOUT_MS = 300;

/** First delay before routing is asked again, after it had no endpoint or the retry budget was spent; doubles each time. */
export const INITIAL_RETRY_BACKOFF_MS = 100;

/** Longest delay before routing is asked again. */
export const MAXIMUM_RETRY_BACKOFF_MS = 1_000;

/** Time to collect the streams affected by the same reclaim, so that their moves are planned together. */
export const RECLAIM_BATCH_WINDOW_MS = 50;

/** A cache move that has not ended this long after its source endpoint is gone is abandoned. */
export const CACHE_MOVE_GRACE_MS = 200;

/** Delay of a planned move while a route is being chosen for another attempt. */
export const MOVE_RETRY_DELAY_MS = 20;

/** Interval at which a shutdown checks whether all requests have ended. */
export const DRAIN_POLL_INTERVAL_MS = 20;

/** Weight of the newest answer in the moving average of answer lengths. */
export const ANSWER_LENGTH_SMOOTHING_FACTOR = 0.1;

/** Assumed time between tokens of a stream that has not yet delivered two. */
export const DEFAULT_TOKEN_GAP_MS = 28;

/** Longest time that an answer is held back until its outcome is recorded under its idempotency key. */
export const SETTLEMENT_TIMEOUT_MS = 500;

/** No new timer is set if one is already set to fire at most this long after the wanted time. */
export const WAKE_TOLERANCE_MS = 2;

/** Speeds and prices of moves for which the node has no better values. */
export const DEFAULT_RECLAIM_TERMS: ReclaimTerms = {
    canTransfer: true,
    cacheBytesPerToken: 131_072,
    transferBytesPerMs: 1_250_000,
    sharingNodes: 8,
    microsPerMegabyte: 10,
    prefillTokensPerMs: 4,
    microsPerThousandTokens: 2_000,
    survivors: 2,
};
