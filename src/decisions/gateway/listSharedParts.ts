/**
 * @module Lists the parts that a prompt may share with the prompts of other requests.
 */
import { hashText } from "../../base/hashText";
import type { PromptPart } from "../../ports/forwardingCodec";

/** Longest id, in characters, that is kept as it is. */
const ID_LENGTH_MAX = 40;

/**
 * Lists the ids of all parts but the last, which belongs to the request or its session only.
 *
 * @param parts - The parts of a prompt, in order
 * @returns Their ids, each once
 * @example
 * listSharedParts([{ id: "a", tokens: 9 }, { id: "b", tokens: 4 }]); //=> ["a"]
 */
export function listSharedParts(parts: readonly PromptPart[]): readonly string[] {
    return parts.length < 2 ? [] : [...new Set(parts.slice(0, -1).map(part => trimId(part.id)))];
}

/** Shortens a long id to its begin and a hash of the rest, since nodes exchange ids in datagrams. */
function trimId(id: string): string {
    return id.length <= ID_LENGTH_MAX ? id : `${id.slice(0, ID_LENGTH_MAX)}~${hashText(id).toString(36)}`;
}
