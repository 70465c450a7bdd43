/**
 * @module Reads what is left of an answer that nobody waits for.
 */
import type { IncomingMessage } from "node:http";

const DROPPED_BYTES_MAX = 65_536;
const DROP_TIMEOUT_MS = 1_000;

/**
 * Reads an answer to its end, so that its connection can be used again. If it is long or slow, the connection is closed.
 *
 * @param response - The answer
 * @example
 * dropAnswer(response);
 */
export function dropAnswer(response: IncomingMessage): void {
    let bytes = 0;
    const timer = setTimeout(() => response.destroy(), DROP_TIMEOUT_MS);
    response.on("data", (piece: Buffer) => {
        bytes += piece.length;
        if (bytes > DROPPED_BYTES_MAX) {
            response.destroy();
        }
    });
    response.once("close", () => clearTimeout(timer));
}
