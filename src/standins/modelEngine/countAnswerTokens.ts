/**
 * @module The length of answers.
 */
import type { ChatMessage } from "../../model/request";
import { ANSWER_SPREAD_TOKENS, SHORTEST_ANSWER_TOKENS } from "./constants";
import { hashPrompt } from "./hashPrompt";

const WANTED_LENGTH = /\[tokens:(\d+)\]/;

/**
 * Counts the tokens of the answer to a prompt if nothing limits it: what `[tokens:N]` in the prompt says, else 32 to
 * 255, by the prompt.
 *
 * @param messages - The conversation
 * @returns Tokens
 * @example
 * countAnswerTokens([{ role: "user", content: "[tokens:500] Reconcile the season." }]); //=> 500
 */
export function countAnswerTokens(messages: readonly ChatMessage[]): number {
    const wanted = messages.map(message => WANTED_LENGTH.exec(message.content)?.[1]).find(text => text !== undefined);
    return wanted === undefined
        ? SHORTEST_ANSWER_TOKENS + (hashPrompt(messages) % ANSWER_SPREAD_TOKENS)
        : Number(wanted);
}
