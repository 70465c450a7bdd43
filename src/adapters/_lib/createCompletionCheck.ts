/**
 * @module Tells whether an answer was received whole.
 */
import type http from "node:http";
import { isConnectionReset } from "./isConnectionReset";

/**
 * Creates the check. An answer without a length or chunks ends with its connection, and is complete unless the
 * connection was reset.
 *
 * @param response - The answer, before its `end` event
 * @returns A function to call after the `end` event; true if the answer is complete
 * @example
 * const isComplete = createCompletionCheck(response);
 * response.on("end", () => void isComplete().then(handleEnd));
 */
export function createCompletionCheck(response: http.IncomingMessage): () => Promise<boolean> {
    const { headers, socket } = response;
    if (headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined) {
        return () => Promise.resolve(response.complete);
    }
    const whenReset = isConnectionReset(socket);
    return async () => response.complete && !(await whenReset);
}
