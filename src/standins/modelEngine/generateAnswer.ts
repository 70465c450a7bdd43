/**
 * @module Whole answers of stand-in engines, for tests to compare with.
 */
import type { ChatMessage } from "../../model/request";
import { countAnswerTokens } from "./countAnswerTokens";
import { generateToken } from "./generateToken";
import { hashPrompt } from "./hashPrompt";

/**
 * Generates the whole answer to a prompt.
 *
 * @param messages - The conversation
 * @param maximumTokens - Most tokens of the answer
 * @returns The texts of its tokens
 * @example
 * generateAnswer(messages, 16).join("");
 */
export function generateAnswer(messages: readonly ChatMessage[], maximumTokens: number): readonly string[] {
    const promptHash = hashPrompt(messages);
    const length = Math.min(maximumTokens, countAnswerTokens(messages));
    return Array.from({ length }, (_, index) => generateToken(promptHash, index));
}
