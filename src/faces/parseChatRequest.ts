/**
 * @module Checking the body of a chat completion request.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { ChatRequest } from "../model/request";
import { DEFAULT_MAXIMUM_TOKENS, LARGEST_MAXIMUM_TOKENS, LARGEST_MESSAGE_COUNT } from "./constants";

/** A chat completion request as the caller stated it. */
export interface ParsedChatRequest {
    readonly chat: ChatRequest;
    readonly isStreamed: boolean;
    /** Whether a streamed answer ends with a chunk of token counts. */
    readonly includesUsage: boolean;
}

const SAMPLING_KEYS = [
    "temperature",
    "top_p",
    "stop",
    "seed",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
    "response_format",
    "user",
] as const;

// Each of these would change the shape of the answer in ways the system does not carry.
const REFUSED_KEYS = ["tools", "tool_choice", "functions", "function_call", "audio", "modalities"] as const;

const textPartSchema = z.object({ type: z.literal("text"), text: z.string() });
const messageSchema = z.object({
    role: z.enum(["system", "developer", "user", "assistant"]),
    content: z.union([z.string(), z.array(textPartSchema).min(1)]),
});
const tokenCountSchema = z.number().int().min(1).max(LARGEST_MAXIMUM_TOKENS);
// `nullish` accepts JSON's null, which some clients send for an absent field.
const bodySchema = z.looseObject({
    model: z.string().min(1).max(256),
    messages: z.array(messageSchema).min(1).max(LARGEST_MESSAGE_COUNT),
    max_tokens: tokenCountSchema.nullish(),
    max_completion_tokens: tokenCountSchema.nullish(),
    stream: z.boolean().nullish(),
    stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
    n: z.literal(1, { error: "only n = 1 is served" }).nullish(),
    logprobs: z.literal(false, { error: "log probabilities are not served" }).nullish(),
});

/**
 * Checks a chat completion body.
 *
 * @param body - The parsed JSON
 * @returns The request, or `InvalidRequest` naming every problem
 * @example
 * parseChatRequest({ model: "assistant", messages: [{ role: "user", content: "Hello" }] });
 */
export function parseChatRequest(body: unknown): Result<ParsedChatRequest, Failure> {
    const parsed = bodySchema.safeParse(body);
    if (!parsed.success) {
        const problems = parsed.error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`);
        return err(createFailure(FailureKind.InvalidRequest, problems.join("; "), { details: { problems } }));
    }
    const fields = parsed.data;
    const refused = REFUSED_KEYS.filter(key => isPresent(fields[key]));
    if (refused.length > 0) {
        return err(createFailure(FailureKind.InvalidRequest, `Not served: ${refused.join(", ")}.`));
    }
    return ok({
        chat: {
            model: fields.model,
            messages: fields.messages.map(message => ({ role: message.role, content: joinParts(message.content) })),
            maximumTokens: fields.max_completion_tokens ?? fields.max_tokens ?? DEFAULT_MAXIMUM_TOKENS,
            sampling: Object.fromEntries(
                SAMPLING_KEYS.filter(key => isPresent(fields[key])).map(key => [key, fields[key]]),
            ),
        },
        isStreamed: fields.stream ?? false,
        includesUsage: fields.stream_options?.include_usage ?? false,
    });
}

function isPresent(value: unknown): boolean {
    return (value ?? undefined) !== undefined;
}

function joinParts(content: string | readonly z.infer<typeof textPartSchema>[]): string {
    return typeof content === "string" ? content : content.map(part => part.text).join("");
}
