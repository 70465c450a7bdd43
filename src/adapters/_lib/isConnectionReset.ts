/**
 * @module Distinguishes a connection that the other end closed regularly from one that was reset.
 */
import type { Socket } from "node:net";

/** Servers ignore an empty line before a request in HTTP/1.1. */
const EMPTY_LINE = "\r\n";

/**
 * Determines whether the other end closed the connection by a reset. Node reports a reset that arrives together with
 * the last bytes as an ordinary `end`, since libuv does not read on after a hang-up; a write still reports the error.
 *
 * @param socket - The connection, before its `end` event
 * @returns A promise that settles after the `end` or `close` event of the socket: true after a reset or another error,
 * and also if the socket closes without an `end`
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
