/**
 * @module Breaks off an answer that is not whole.
 */
import type { ServerResponse } from "node:http";

/**
 * Breaks off an answer so that the caller can't take it for a whole one. In chunks, a missing last chunk shows it;
 * otherwise the answer may end with its connection, and only a reset tells the break from the end.
 *
 * @param response - The response, which may have begun
 * @example
 * abandonAnswer(response);
 */
export function abandonAnswer(response: ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding) {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}
