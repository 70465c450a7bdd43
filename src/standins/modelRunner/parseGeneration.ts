/**
 * @module Reads generation requests to the model runner stand-in.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import type { ChatMessage } from "../../model/request";

const bodySchema = z.object({
    model: z.string(),
    messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
    max_tokens: z.number().int().positive().optional(),
    max_completion_tokens: z.number().int().positive().optional(),
    stream: z.boolean().optional(),
    redwinglift: z
        .object({
            request_id: z.string(),
            attempt: z.number().int(),
            priority: z.number(),
            resumed_texts: z.array(z.string()),
            imported_cache_id: z.string().optional(),
        })
        .optional(),
});

const DEFAULT_MAXIMUM_TOKENS = 1_024;

/** A generation request as an engine sees it. */
export interface ParsedGeneration {
    readonly model: string;
    readonly messages: readonly ChatMessage[];
    readonly maximumTokens: number;
    readonly isStream: boolean;
    /** Absent for clients that don't send the extension. */
    readonly extension?: {
        readonly requestId: string;
        readonly attempt: number;
        readonly priority: number;
        readonly resumedTexts: readonly string[];
        readonly importedCacheId?: string;
    };
}

/**
 * Parses the body of `POST /v1/chat/completions`.
 *
 * @param body - JSON in OpenAI's format, with the `redwinglift` object where the sender has one
 * @returns The request, or why it can't be read
 * @example
 * parseGeneration(Buffer.from('{"model":"m","messages":[{"role":"user","content":"Hello"}]}'));
 */
export function parseGeneration(body: Buffer): Result<ParsedGeneration, Failure> {
    let value: unknown;
    try {
        value = JSON.parse(body.toString("utf8"));
    } catch {
        return err(createFailure(FailureKind.MalformedBody, "The body is not JSON."));
    }
    const parsed = bodySchema.safeParse(value);
    if (!parsed.success) {
        return err(createFailure(FailureKind.InvalidRequest, z.prettifyError(parsed.error)));
    }
    const { model, messages, stream, redwinglift } = parsed.data;
    return ok({
        model,
        messages,
        maximumTokens: parsed.data.max_completion_tokens ?? parsed.data.max_tokens ?? DEFAULT_MAXIMUM_TOKENS,
        isStream: stream ?? false,
        extension: redwinglift && {
            requestId: redwinglift.request_id,
            attempt: redwinglift.attempt,
            priority: redwinglift.priority,
            resumedTexts: redwinglift.resumed_texts,
            importedCacheId: redwinglift.imported_cache_id,
        },
    });
}
