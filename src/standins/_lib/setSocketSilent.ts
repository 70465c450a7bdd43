/**
 * @module Makes an open connection carry nothing any more.
 */
import type { Socket } from "node:net";

/**
 * Silences a connection for good: what is written to it is dropped, what arrives on it is not handled, and it stays
 * open, as when something between the two ends has lost track of it.
 *
 * @param socket - The stand-in's end of the connection
 * @param silent - Where silenced sockets are remembered
 * @example
 * setSocketSilent(socket, silent);
 */
export function setSocketSilent(socket: Socket, silent: WeakSet<Socket>): void {
    silent.add(socket);
    const dropBytes = (...parts: unknown[]): boolean => {
        const done = parts.find(part => typeof part === "function") as (() => void) | undefined;
        if (done !== undefined) {
            process.nextTick(done);
        }
        return true;
    };
    Object.assign(socket, { write: dropBytes, end: () => socket });
}
