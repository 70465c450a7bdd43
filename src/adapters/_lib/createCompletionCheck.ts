/**
 * @module Tells whether an answer was received whole.
 */
import type http from "node:http";
import { hasBody } from "./hasBody";
import { isConnectionReset } from "./isConnectionReset";

/**
 * Creates the check. An answer with a body, but without a length or chunks, ends with its connection, and is complete
 * unless the connection was reset.
 *
 * @param response - The answer, before its `end` event
 * @param method - The method of the request
 * @returns A function to call after the `end` event; true if the answer is complete
 * @example
 * const isComplete = createCompletionCheck(response, "GET");
 * response.on("end", () => void isComplete().then(handleEnd));
 */
export function createCompletionCheck(response: http.IncomingMessage, method: string): () => Promise<boolean> {
    const { headers, socket } = response;
    const isFramed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    if (isFramed || !hasBody(response.statusCode ?? 0, method)) {
        return () => Promise.resolve(response.complete);
    }
    const whenReset = isConnectionReset(socket);
    return async () => response.complete && !(await whenReset);
}
