/**
 * @module Constants of the execution of requests.
 */
import type { ReclaimTerms } from "../../decisions/outcomes/reclaim/reclaimMove";

/** Answer events that wait for a slow reader before the runner's connection is no longer read. */
export const ANSWER_CHANNEL_CAPACITY = 16;

/** Messages to one execution from timers, callers and calls under way; further ones wait in the channel. */
export const CONTROL_CHANNEL_CAPACITY = 8;

/** Estimates prompt tokens where no tokenizer is at hand; admission charges by it. */
export const CHARACTERS_PER_TOKEN = 4;

/** Tokens per prefix hash; the engines' cache events use the same block. */
export const PREFIX_BLOCK_TOKENS = 64;

/** The route name of model requests in health records and version evidence. */
export const CHAT_ROUTE = "/v1/chat/completions";

/** Path segments of a service call that name its route; the rest may differ with each call. */
export const ROUTE_SEGMENTS = 2;

/** A stream without an event for this long gets a new connection to the same endpoint or to another one. */
export const STREAM_SILENCE_MS = 3_000;

/** The endpoint is probed on a new connection after this share of the silence bound. */
export const PROBE_SHARE = 0.5;

/** The first token is waited for this many times its estimate, at least `STREAM_SILENCE_MS`. */
export const FIRST_TOKEN_SILENCE_FACTOR = 4;

/** Engines that are alive may be long over a queue or a prompt; the wait for their first token is this much longer. */
export const ALIVE_SILENCE_FACTOR = 4;

/** Silence bound at an endpoint that is said to be gone. */
export const GONE_SILENCE_MS = 300;

/** First pause before an endpoint is asked for again, when there was none or the retry budget was spent. */
export const RETRY_PAUSE_MS = 100;

/** The longest such pause. */
export const LONGEST_RETRY_PAUSE_MS = 1_000;

/** Time given to notices of other streams of the same wave before the moves are planned together. */
export const WAVE_COLLECTION_MS = 50;

/** A cache move that has not ended this long after the endpoint went is given up. */
export const MOVE_GRACE_MS = 200;

/** Pause before a move that found another route being chosen. */
export const MOVE_RETRY_MS = 20;

/** How often a shutdown looks whether all requests have ended. */
export const DRAIN_POLL_MS = 20;

/** Weight of the newest answer in the running estimate of answer lengths. */
export const LENGTH_ESTIMATE_WEIGHT = 0.1;

/** Time between tokens until a stream has shown its own, in milliseconds. */
export const DEFAULT_TOKEN_GAP_MS = 28;

/** How long an answer waits for its outcome to be recorded under its idempotency key. */
export const SETTLEMENT_WAIT_MS = 500;

/** A wake-up this close to one that is set already is not set again. */
export const WAKE_TOLERANCE_MS = 2;

/** Speeds and prices of moves where the node knows none better. */
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
