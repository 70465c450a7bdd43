/**
 * @module Chunks of a generation in OpenAI's format.
 */
import { z } from "zod";
import type { AttemptId, TokenBatch, Usage } from "../../model/request";
import { parseAnswer } from "../_lib/parseAnswer";

const chunkSchema = z.object({
    choices: z
        .array(
            z.object({
                delta: z.object({ content: z.string().nullish() }).optional(),
                finish_reason: z.string().nullish(),
            }),
        )
        .default([]),
    usage: z
        .object({
            prompt_tokens: z.number(),
            completion_tokens: z.number(),
            prompt_tokens_details: z.object({ cached_tokens: z.number().optional() }).nullish(),
        })
        .nullish(),
    redwinglift: z
        .object({
            request_id: z.string(),
            attempt: z.number(),
            offset: z.number().optional(),
            texts: z.array(z.string()).optional(),
        })
        .optional(),
});

/** What a chunk says. */
export interface ParsedChunk {
    /** The identity in the chunk; absent where the engine does not echo it. */
    readonly id?: AttemptId;
    readonly batch?: TokenBatch;
    readonly finishReason?: string;
    readonly usage?: Usage;
}

/**
 * Parses one chunk. Where an engine does not number its tokens, a chunk counts as one token after the last.
 *
 * @param text - The JSON of the chunk
 * @param nextOffset - Index of the token after the last one received
 * @returns What it says; `undefined` if it is no chunk
 * @example
 * parseChunk('{"choices":[{"delta":{"content":" word"}}]}', 3)?.batch?.offset; //=> 3
 */
export function parseChunk(text: string, nextOffset: number): ParsedChunk | undefined {
    const chunk = parseAnswer(text, chunkSchema);
    if (chunk === undefined) {
        return undefined;
    }
    const { redwinglift: extension, usage } = chunk;
    const choice = chunk.choices[0];
    const content = choice?.delta?.content ?? "";
    const texts = extension?.texts ?? (content === "" ? [] : [content]);
    return {
        id: extension && { requestId: extension.request_id, attempt: extension.attempt },
        batch: texts.length === 0 ? undefined : { offset: extension?.offset ?? nextOffset, texts },
        finishReason: choice?.finish_reason ?? undefined,
        usage: usage
            ? {
                  promptTokens: usage.prompt_tokens,
                  outputTokens: usage.completion_tokens,
                  cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
              }
            : undefined,
    };
}
