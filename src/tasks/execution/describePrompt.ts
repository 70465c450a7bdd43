/**
 * @module Token count and prefix hashes of a prompt, estimated from its text.
 */
import { hashText } from "../../base/hashText";
import type { ChatRequest } from "../../model/request";
import { CHARACTERS_PER_TOKEN, PREFIX_BLOCK_TOKENS } from "./constants";
import type { PromptDescription } from "./executionDependencies";

/**
 * Estimates the token count of a prompt and hashes each of its prefixes that ends at a whole block of tokens.
 *
 * @param chat - The request
 * @returns Token count and prefix hashes, shortest prefix first
 * @example
 * describePrompt(chat).promptTokens;
 */
export function describePrompt(chat: ChatRequest): PromptDescription {
    const text = chat.messages.map(message => `${message.role}\n${message.content}\n`).join("");
    const promptTokens = Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
    const blockCharacters = PREFIX_BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
    const prefixHashes: string[] = [];
    let hash = hashText(chat.model);
    for (let end = blockCharacters; end <= text.length; end += blockCharacters) {
        hash = hashText(text.slice(end - blockCharacters, end), hash);
        prefixHashes.push(hash.toString(16).padStart(8, "0"));
    }
    return { promptTokens, prefixHashes };
}
