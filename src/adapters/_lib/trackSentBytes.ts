/**
 * @module Tells whether a byte of a request can have left this process.
 */
import type http from "node:http";
import type { Socket } from "node:net";

/** What is known of a request's way to the other end. */
export interface SentBytes {
    /** True once a byte may have left. Never goes back to false. */
    hasSentBytes(): boolean;
}

/**
 * Tracks a request from before it has a connection. Node sends nothing before the connection is open, and everything
 * it holds at once when it opens; so an open connection counts as sent.
 *
 * @param request - A request just created
 * @param handleConnected - Called once the request has an open connection
 * @returns What is known, always up to date
 * @example
 * const sent = trackSentBytes(request, () => undefined);
 * request.on("error", () => sent.hasSentBytes());
 */
export function trackSentBytes(request: http.ClientRequest, handleConnected: () => void): SentBytes {
    let hasSent = false;
    const recordConnected = () => {
        hasSent = true;
        handleConnected();
    };
    request.once("socket", (socket: Socket) => {
        if (request.destroyed) {
            return;
        }
        if (socket.connecting) {
            socket.prependOnceListener("connect", recordConnected);
        } else {
            recordConnected();
        }
    });
    return { hasSentBytes: () => hasSent };
}
