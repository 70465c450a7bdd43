/**
 * @module Closes the connections of a server without losing a request that is on its way.
 */
import type { Server } from "node:http";
import net, { type Socket } from "node:net";

/** Time for requests that the kernel has already received to be read and refused. */
const LAST_READ_MS = 50;

/** Time for callers to close their end, during which what they still send is read. */
const LINGER_MS = 250;

/**
 * Accepts no more connections, lets requests that have already been received be refused, and closes the connections
 * from this end first. A connection closed with unread bytes would be reset, and its last answer could be lost.
 *
 * @param server - The server, which refuses each request by now
 * @param sockets - Its open connections, without requests in progress
 * @example
 * await closeConnections(server, connections.sockets);
 */
export async function closeConnections(server: Server, sockets: ReadonlySet<Socket>): Promise<void> {
    if (!server.listening) {
        return;
    }
    // The method of `http.Server` would destroy idle connections.
    net.Server.prototype.close.call(server);
    await waitUntilClosed(sockets, LAST_READ_MS);
    // On a busy process the timer can fire before the sockets are read.
    await new Promise(resolve => setImmediate(resolve));
    sockets.forEach(socket => socket.end());
    await waitUntilClosed(sockets, LINGER_MS);
}

function waitUntilClosed(sockets: ReadonlySet<Socket>, timeoutMs: number): Promise<void> {
    return new Promise(resolve => {
        const timer = setTimeout(resolve, timeoutMs);
        let open = sockets.size;
        const countClosed = () => {
            open--;
            if (open <= 0) {
                clearTimeout(timer);
                resolve();
            }
        };
        sockets.forEach(socket => socket.once("close", countClosed));
        if (open === 0) {
            countClosed();
        }
    });
}
