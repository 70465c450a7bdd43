/**
 * @module The requests in progress on one listener, and their end at a planned stop.
 */
import type { ServerResponse } from "node:http";
import { createFailure } from "../base/createFailure";
import { Execution, FailureKind } from "../base/failure";
import { sendFailure } from "./sendFailure";

/** The requests in progress on one listener. */
export interface OpenRequests {
    /** Aborted by `finish`; a body that is still under way then is of no use any more. */
    readonly stopped: AbortSignal;
    /** Counts a request in; call the returned function when its handler has ended. */
    begin(response: ServerResponse, requestId: string): () => void;
    count(): number;
    /** Resolves with 0 once none is open, or with the number still open after `timeoutMs` milliseconds. */
    waitUntilNone(timeoutMs: number): Promise<number>;
    /**
     * Ends all within `timeoutMs`: bodies under way are given up at once, and requests whose answer has not begun after
     * half of the time get a failure with an unknown outcome. Resolves with the number of requests that it cut.
     */
    finish(timeoutMs: number): Promise<number>;
}

/**
 * Creates the counter. A request is open until its handler has ended and its response is sent or its connection closed.
 *
 * @param idleMs - Longest time in which a caller takes nothing of an answer that is ready; its connection is closed then
 * @returns The counter
 * @example
 * const release = openRequests.begin(response, requestId);
 */
export function createOpenRequests(idleMs: number): OpenRequests {
    const open = new Map<ServerResponse, string>();
    const waiters = new Set<() => void>();
    const stopped = new AbortController();
    const remove = (response: ServerResponse) => {
        open.delete(response);
        if (open.size === 0) {
            waiters.forEach(wake => wake());
        }
    };
    const installReadingLimit = (response: ServerResponse) => {
        const { socket } = response;
        if ((socket?.writableLength ?? 0) === 0) {
            return;
        }
        response.setTimeout(idleMs, () => response.destroy());
        // The limit must not go over to the next answer of the connection.
        response.once("finish", () => {
            if ([...open.keys()].some(other => other !== response && other.req.socket === socket)) {
                socket?.setTimeout(0);
            }
        });
    };
    const removeOnceSent = (response: ServerResponse) => {
        if (response.writableFinished || response.destroyed) {
            remove(response);
        } else {
            response.once("close", () => remove(response));
            installReadingLimit(response);
        }
    };
    const waitUntilNone = (timeoutMs: number): Promise<number> =>
        new Promise(resolve => {
            const finish = () => {
                clearTimeout(timer);
                waiters.delete(finish);
                resolve(open.size);
            };
            const timer = setTimeout(finish, timeoutMs);
            waiters.add(finish);
            if (open.size === 0) {
                finish();
            }
        });
    const failUnanswered = (): number => {
        const unanswered = [...open].filter(([response]) => !response.headersSent);
        unanswered.forEach(([response, requestId]) => {
            const message = "The node stopped before the answer was known.";
            const failure = createFailure(FailureKind.ShuttingDown, message, { execution: Execution.Unknown });
            sendFailure(response, failure, requestId);
            removeOnceSent(response);
        });
        return unanswered.length;
    };
    return {
        stopped: stopped.signal,
        begin: (response, requestId) => {
            open.set(response, requestId);
            return () => removeOnceSent(response);
        },
        count: () => open.size,
        waitUntilNone,
        finish: async timeoutMs => {
            stopped.abort();
            if ((await waitUntilNone(timeoutMs / 2)) === 0) {
                return 0;
            }
            const unanswered = failUnanswered();
            return unanswered + (await waitUntilNone(timeoutMs / 2));
        },
    };
}
