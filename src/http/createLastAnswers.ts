/**
 * @module Which answer is the last one of its connection.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Lets connections close after their last answer. */
export interface LastAnswers {
    /**
     * Makes an answer the last one of its connection, in place of an earlier one that has not begun. False if an earlier
     * one has already announced the close: the request must not be executed then, since no answer can follow.
     */
    setLast(response: ServerResponse): boolean;
}

/**
 * Creates the record of last answers.
 *
 * @returns The record
 * @example
 * const isTaken = lastAnswers.setLast(response);
 */
export function createLastAnswers(): LastAnswers {
    const lastBySocket = new WeakMap<Socket, ServerResponse>();
    return {
        setLast: response => {
            const { socket } = response.req;
            const earlier = lastBySocket.get(socket);
            if (earlier?.headersSent === true) {
                return false;
            }
            earlier?.setHeader("connection", "keep-alive");
            response.setHeader("connection", "close");
            lastBySocket.set(socket, response);
            return true;
        },
    };
}
