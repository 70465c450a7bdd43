/**
 * @module The answers of stand-in engines.
 */
import { hashText } from "../../base/hashText";

/**
 * Generates one token of an answer. It depends on the prompt and the index alone, so that an answer pieced together
 * from several attempts on several runners can be verified.
 *
 * @param promptHash - Hash of the prompt
 * @param index - Index of the token in the answer
 * @returns The token's text, a space and a word
 * @example
 * generateToken(hashPrompt(messages), 0);
 */
export function generateToken(promptHash: number, index: number): string {
    return ` ${hashText(String(index), promptHash).toString(36)}`;
}
