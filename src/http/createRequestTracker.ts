/**
 * @module Which requests of a connection are open, and which received bytes belong to none yet.
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** The requests of one connection. */
export interface RequestTracker {
    /** Records a request whose head has arrived. */
    beginRequest(request: IncomingMessage): void;
    /** Records the end of an answer. */
    endRequest(): void;
    hasOpenRequests(): boolean;
    /** Counts the received bytes after the last request that has arrived whole; 0 while a body arrives. */
    countUnfinishedBytes(): number;
}

/**
 * Creates the tracker of a connection without requests.
 *
 * @param socket - The connection
 * @returns The tracker
 * @example
 * const tracker = createRequestTracker(socket);
 * const isIdle = !tracker.hasOpenRequests() && tracker.countUnfinishedBytes() === 0;
 */
export function createRequestTracker(socket: Pick<Socket, "bytesRead">): RequestTracker {
    let openRequests = 0;
    /** True while the last request's body is being received; it may have been answered before. */
    let isReceivingBody = false;
    let bytesOfRequests = socket.bytesRead;
    return {
        beginRequest: request => {
            openRequests++;
            isReceivingBody = true;
            request.once("end", () => {
                isReceivingBody = false;
                bytesOfRequests = socket.bytesRead;
            });
        },
        endRequest: () => {
            openRequests--;
        },
        hasOpenRequests: () => openRequests > 0,
        countUnfinishedBytes: () => (isReceivingBody ? 0 : socket.bytesRead - bytesOfRequests),
    };
}
