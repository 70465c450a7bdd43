/**
 * @module A request as the quarantine of prompt parts sees it.
 */
import { createHash } from "node:crypto";
import { listSharedParts } from "../../decisions/gateway/listSharedParts";
import type { PromptPart } from "../../ports/forwardingCodec";

/** A request that is sent to endpoints. */
export interface FollowedRequest {
    /** Ids of the prompt parts that other requests may have as well. */
    readonly parts: readonly string[];
    /** Gives what all repeats of the request have in common, and other requests don't; `undefined` if it isn't known. */
    readonly readIdentity: () => string | undefined;
}

/** What a request without prompt parts is known by. */
export interface RequestContent {
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly body: Buffer;
}

const IDENTITY_LENGTH = 16;
/** Bytes at the begin and at the end of a body that are hashed: hashing several MiB would delay other requests. */
const BODY_END_BYTES = 32_768;

/**
 * Builds what the quarantine sees of a request. Its identity is computed when it is first asked for, which happens only
 * while there is evidence or after a connection broke.
 *
 * @param promptParts - The parts of its prompt; a request with any is known by them
 * @param content - The rest of it; `undefined` if it isn't known
 * @returns The request
 * @example
 * buildFollowedRequest(head.promptParts, { service, method: "POST", path: "/v1/chat", body });
 */
export function buildFollowedRequest(
    promptParts: readonly PromptPart[],
    content: RequestContent | undefined,
): FollowedRequest {
    let identity: string | undefined;
    const computeIdentity = () => {
        if (promptParts.length > 0) {
            return hashRequest(["parts", ...promptParts.map(({ id }) => id)]);
        }
        return content && hashRequest(["body", content.service, content.method, content.path], content.body);
    };
    return {
        parts: listSharedParts(promptParts),
        readIdentity: () => (identity ??= computeIdentity()),
    };
}

function hashRequest(texts: readonly string[], body: Buffer = Buffer.alloc(0)): string {
    const hash = createHash("sha256").update(JSON.stringify([...texts, body.length]));
    hash.update(body.subarray(0, BODY_END_BYTES));
    hash.update(body.subarray(Math.max(BODY_END_BYTES, body.length - BODY_END_BYTES)));
    return `request:${hash.digest("hex").slice(0, IDENTITY_LENGTH)}`;
}
