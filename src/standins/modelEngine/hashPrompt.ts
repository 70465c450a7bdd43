/**
 * @module The identity of a prompt.
 */
import { hashText } from "../../base/hashText";
import type { ChatMessage } from "../../model/request";

/**
 * Hashes a prompt.
 *
 * @param messages - The conversation
 * @returns A number that depends on every role and content
 * @example
 * hashPrompt([{ role: "user", content: "Which depots are closed?" }]);
 */
export function hashPrompt(messages: readonly ChatMessage[]): number {
    return hashText(JSON.stringify(messages.map(message => [message.role, message.content])));
}
