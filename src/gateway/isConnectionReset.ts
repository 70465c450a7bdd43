/**
 * @module Tells an answer that ended with its connection from one whose connection was reset.
 */
import type { Socket } from "node:net";

/** Empty lines between requests mean nothing in HTTP/1.1. */
const EMPTY_LINE = "\r\n";

/**
 * Finds out, when the other end has closed, whether it did so by a reset. Node reports a reset that arrives together
 * with the last bytes as an ordinary end, since libuv doesn't read on after a hang-up; a write still shows the error.
 *
 * @param socket - The connection, before its `end`
 * @returns A promise, settled soon after the `end` or the close of the socket: true after a reset
 * @example
 * const whenEnded = isConnectionReset(response.socket);
 * response.on("end", () => whenEnded.then(isReset => ...));
 */
export function isConnectionReset(socket: Socket): Promise<boolean> {
    return new Promise(resolve => {
        socket.prependOnceListener("end", () => {
            socket.write(EMPTY_LINE, error => resolve(Boolean(error)));
        });
        socket.once("error", () => resolve(true));
        socket.once("close", () => resolve(true));
    });
}
