/**
 * @module Closes a connection from this side first.
 */
import type { Socket } from "node:net";

/** Time for a caller to read its last answer from a connection that is closed to make room for another. */
export const ROOM_LINGER_MS = 5_000;

/**
 * Ends a connection from this side, and keeps it until the other side ends it too: one that is closed with unread bytes is
 * reset, and its last answer may be lost.
 *
 * @param socket - The connection; what still arrives is read or dropped by the caller of this function
 * @param lastAnswer - Sent before the end; empty for none
 * @param lingerMs - The longest time for which it is kept
 * @example
 * endConnection(socket, "", ROOM_LINGER_MS);
 */
export function endConnection(socket: Socket, lastAnswer: string, lingerMs: number): void {
    socket.end(lastAnswer, () => {
        const timer = setTimeout(() => socket.destroy(), lingerMs);
        socket.once("close", () => clearTimeout(timer));
    });
}
