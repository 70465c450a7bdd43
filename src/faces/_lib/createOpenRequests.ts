/**
 * @module Counting the requests in progress.
 */
import type { ServerResponse } from "node:http";

/** The requests in progress on one listener. */
export interface OpenRequests {
    /** Counts a request in; call the returned function when its handler has ended. */
    begin(response: ServerResponse): () => void;
    count(): number;
    /** Resolves with 0 once none is open, or with the number still open after `timeoutMs` milliseconds. */
    waitUntilNone(timeoutMs: number): Promise<number>;
}

/**
 * Creates the counter. A request is open until its handler has ended and its response is sent or its connection closed.
 *
 * @returns The counter
 * @example
 * const release = openRequests.begin(response);
 */
export function createOpenRequests(): OpenRequests {
    const open = new Set<ServerResponse>();
    const waiters = new Set<() => void>();
    const notifyWhenNone = () => {
        if (open.size === 0) {
            waiters.forEach(wake => wake());
        }
    };
    return {
        begin: response => {
            open.add(response);
            return () => {
                const remove = () => {
                    open.delete(response);
                    notifyWhenNone();
                };
                if (response.writableFinished || response.destroyed) {
                    remove();
                } else {
                    response.once("close", remove);
                }
            };
        },
        count: () => open.size,
        waitUntilNone: timeoutMs =>
            new Promise(resolve => {
                const timer = setTimeout(() => finish(), timeoutMs);
                const finish = () => {
                    clearTimeout(timer);
                    waiters.delete(finish);
                    resolve(open.size);
                };
                waiters.add(finish);
                notifyWhenNone();
            }),
    };
}
