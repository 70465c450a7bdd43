/**
 * @module Constants of the execution of requests.
 */

/** Answer events that wait for a slow reader before the runner's connection is no longer read. */
export const ANSWER_CHANNEL_CAPACITY = 16;

/** Estimates prompt tokens where no tokenizer is at hand; admission charges by it. */
export const CHARACTERS_PER_TOKEN = 4;

/** Tokens per prefix hash; the engines' cache events use the same block. */
export const PREFIX_BLOCK_TOKENS = 64;

/** The route name of model requests in health records and version evidence. */
export const CHAT_ROUTE = "/v1/chat/completions";
