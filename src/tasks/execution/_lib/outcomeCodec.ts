/**
 * @module Encodes outcomes as text, to record them under an idempotency key.
 */
import { z } from "zod";
import { FinishReason, type Usage } from "../../../model/request";
import type { ServiceResponse } from "../../../ports/applicationRunner";

/** The whole answer of a chat request. */
export interface ChatOutcome {
    /** One text per token. */
    readonly texts: readonly string[];
    readonly reason: FinishReason;
    readonly usage: Usage;
}

const USAGE = z.object({ promptTokens: z.number(), outputTokens: z.number(), cachedTokens: z.number() });
const CHAT = z.object({ texts: z.array(z.string()), reason: z.enum(FinishReason), usage: USAGE });
const SERVICE = z.object({ status: z.number(), headers: z.record(z.string(), z.string()), body: z.string() });

/**
 * Encodes the answer of a chat request.
 *
 * @param outcome - The answer
 * @returns JSON text
 * @example
 * claim.settle({ state: ClaimState.Ran, outcome: encodeChatOutcome(outcome) }, 500);
 */
export function encodeChatOutcome(outcome: ChatOutcome): string {
    return JSON.stringify(outcome);
}

/**
 * Decodes the answer of a chat request.
 *
 * @param text - JSON text
 * @returns The answer, or `undefined` if the text is not valid
 * @example
 * const outcome = decodeChatOutcome(text);
 */
export function decodeChatOutcome(text: string): ChatOutcome | undefined {
    return parseJson(CHAT, text);
}

/**
 * Encodes the answer of an application runner.
 *
 * @param answer - The answer
 * @returns JSON text with the body in base64
 * @example
 * encodeServiceOutcome({ status: 200, headers: {}, body });
 */
export function encodeServiceOutcome(answer: ServiceResponse): string {
    return JSON.stringify({ ...answer, body: answer.body.toString("base64") });
}

/**
 * Decodes the answer of an application runner.
 *
 * @param text - JSON text
 * @returns The answer, or `undefined` if the text is not valid
 * @example
 * const answer = decodeServiceOutcome(text);
 */
export function decodeServiceOutcome(text: string): ServiceResponse | undefined {
    const parsed = parseJson(SERVICE, text);
    return parsed === undefined ? undefined : { ...parsed, body: Buffer.from(parsed.body, "base64") };
}

function parseJson<T>(schema: z.ZodType<T>, text: string): T | undefined {
    try {
        return schema.parse(JSON.parse(text));
    } catch {
        return undefined;
    }
}
