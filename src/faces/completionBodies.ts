/**
 * @module Bodies of chat completions, whole and in chunks, in the shape that OpenAI clients read.
 */
import type { FinishReason, Usage } from "../model/request";
import { JSON_NULL } from "./_lib/jsonNull";

/** What all chunks of one answer share. */
export interface CompletionIdentity {
    readonly requestId: string;
    /** Epoch seconds. */
    readonly createdSeconds: number;
    readonly model: string;
}

/** One choice's change in a chunk. */
export interface ChunkDelta {
    readonly role?: "assistant";
    readonly content?: string;
}

/**
 * Builds a chunk of a streamed answer.
 *
 * @param identity - What all chunks share
 * @param delta - Text added by this chunk
 * @param reason - Why the answer ended, in its last chunk
 * @returns The chunk, ready for JSON
 * @example
 * buildChunk(identity, { content: "Hello" });
 */
export function buildChunk(identity: CompletionIdentity, delta: ChunkDelta, reason?: FinishReason): object {
    return {
        id: `chatcmpl-${identity.requestId}`,
        object: "chat.completion.chunk",
        created: identity.createdSeconds,
        model: identity.model,
        choices: [{ index: 0, delta, finish_reason: reason ?? JSON_NULL }],
    };
}

/**
 * Builds the last chunk of a stream whose caller asked for token counts.
 *
 * @param identity - What all chunks share
 * @param usage - The counts
 * @returns The chunk, ready for JSON
 * @example
 * buildUsageChunk(identity, { promptTokens: 12, outputTokens: 40, cachedTokens: 0 });
 */
export function buildUsageChunk(identity: CompletionIdentity, usage: Usage): object {
    return {
        id: `chatcmpl-${identity.requestId}`,
        object: "chat.completion.chunk",
        created: identity.createdSeconds,
        model: identity.model,
        choices: [],
        usage: buildUsage(usage),
    };
}

/**
 * Builds a whole answer.
 *
 * @param identity - The answer's identity
 * @param answer - Its text, the reason it ended and its token counts
 * @returns The body, ready for JSON
 * @example
 * buildCompletion(identity, { text: "Hello", reason: FinishReason.Stop, usage });
 */
export function buildCompletion(
    identity: CompletionIdentity,
    answer: { readonly text: string; readonly reason: FinishReason; readonly usage: Usage },
): object {
    const message = { role: "assistant", content: answer.text, refusal: JSON_NULL };
    return {
        id: `chatcmpl-${identity.requestId}`,
        object: "chat.completion",
        created: identity.createdSeconds,
        model: identity.model,
        choices: [{ index: 0, message, logprobs: JSON_NULL, finish_reason: answer.reason }],
        usage: buildUsage(answer.usage),
    };
}

function buildUsage(usage: Usage): object {
    return {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.outputTokens,
        total_tokens: usage.promptTokens + usage.outputTokens,
        prompt_tokens_details: { cached_tokens: usage.cachedTokens },
    };
}
