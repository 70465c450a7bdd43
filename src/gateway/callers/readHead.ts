/**
 * @module Reads the head of a caller's request, whatever its headers hold.
 */
import type { IncomingMessage } from "node:http";
import type { CallerRequestHead, ForwardingCodec } from "../../ports/forwardingCodec";

/** Stands for the head of a request whose headers can't be read. */
const UNREADABLE_HEAD: CallerRequestHead = {
    requestId: undefined,
    model: undefined,
    deadlineMs: undefined,
    promptTokens: undefined,
    outputTokensMax: undefined,
    promptParts: [],
    key: undefined,
    lastEventId: undefined,
};

/** The head of a request, and the error if it could not be read. */
export interface ReadHead {
    readonly head: CallerRequestHead;
    readonly error?: unknown;
}

/**
 * Reads the head.
 *
 * @param codec - Reads the headers
 * @param request - The request
 * @returns The head; an empty one with the error if the codec throws
 * @example
 * const { head, error } = readHead(codec, request);
 */
export function readHead(codec: Pick<ForwardingCodec, "readCallerHead">, request: IncomingMessage): ReadHead {
    try {
        return { head: codec.readCallerHead(request.headers) };
    } catch (error) {
        return { head: UNREADABLE_HEAD, error };
    }
}
