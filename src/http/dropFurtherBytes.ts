/**
 * @module Stops the reading of requests on a connection.
 */
import type { Socket } from "node:net";

/**
 * Takes a connection from the parser, so that no further request is read; its end is still noticed.
 *
 * @param socket - The connection
 * @example
 * dropFurtherBytes(request.socket);
 */
export function dropFurtherBytes(socket: Socket): void {
    socket.removeAllListeners("data");
    socket.on("data", () => undefined);
    socket.resume();
}
