/**
 * @module Generations in contract tests.
 */
import assert from "node:assert/strict";
import { receiveMessage } from "../../../base/csp";
import type { Failure } from "../../../base/failure";
import { type AttemptId, type ChatRequest, type GenerationEvent, GenerationEventKind } from "../../../model/request";
import type { Generation } from "../../../ports/modelRunner";
import { generateAnswer } from "../../../standins/modelEngine/generateAnswer";

/** What was read of a generation. */
export interface ReadEvents {
    readonly events: readonly GenerationEvent[];
    /** Texts of the tokens in the order of arrival. */
    readonly texts: readonly string[];
    /** Identities that the token events carried. */
    readonly ids: readonly AttemptId[];
    /** Present if the generation failed. */
    readonly failure?: Failure;
    readonly isFinished: boolean;
}

/**
 * Creates a chat request with an answer of known length.
 *
 * @param tokens - Length of the answer
 * @param text - What the prompt says besides
 * @returns The request
 * @example
 * createChat(20);
 */
export function createChat(tokens: number, text = "Which depots are closed?"): ChatRequest {
    const content = `[tokens:${tokens}] ${text}`;
    return {
        model: "assistant",
        messages: [{ role: "user", content }],
        maximumTokens: tokens + 1,
        sampling: { temperature: 0 },
    };
}

/**
 * Reads a generation to its end, or until it has given enough tokens.
 *
 * @param generation - The generation
 * @param options - `untilTokens`: stop reading after so many
 * @returns What was read
 * @example
 * const { texts } = await readEvents(generation);
 */
export async function readEvents(
    generation: Generation,
    options: { readonly untilTokens?: number } = {},
): Promise<ReadEvents> {
    const events: GenerationEvent[] = [];
    const texts: string[] = [];
    const ids: AttemptId[] = [];
    while (texts.length < (options.untilTokens ?? Infinity)) {
        const event = await receiveMessage(generation.events);
        if (event === undefined) {
            break;
        }
        events.push(event);
        if (event.kind === GenerationEventKind.Tokens) {
            texts.push(...event.batch.texts);
            ids.push(event.id);
        }
    }
    const last = events.at(-1);
    return {
        events,
        texts,
        ids,
        failure: last?.kind === GenerationEventKind.Failed ? last.failure : undefined,
        isFinished: last?.kind === GenerationEventKind.Finished,
    };
}

/**
 * Checks that texts are the whole answer to a request.
 *
 * @param chat - The request
 * @param texts - The answer's tokens
 * @example
 * expectWholeAnswer(chat, texts);
 */
export function expectWholeAnswer(chat: ChatRequest, texts: readonly string[]): void {
    assert.deepEqual(texts, generateAnswer(chat.messages, chat.maximumTokens));
}
