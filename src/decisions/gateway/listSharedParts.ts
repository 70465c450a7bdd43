/**
 * @module Lists the parts that a prompt may share with the prompts of other requests.
 */
import type { PromptPart } from "../../ports/forwardingCodec";

/**
 * Lists the ids of all parts but the last, which belongs to the request or its session only.
 *
 * @param parts - The parts of a prompt, in order
 * @returns Their ids, each once
 * @example
 * listSharedParts([{ id: "a", tokens: 9 }, { id: "b", tokens: 4 }]); //=> ["a"]
 */
export function listSharedParts(parts: readonly PromptPart[]): readonly string[] {
    return parts.length < 2 ? [] : [...new Set(parts.slice(0, -1).map(part => part.id))];
}
