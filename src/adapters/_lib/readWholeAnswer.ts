/**
 * @module Answers that are read whole.
 */
import type http from "node:http";
import { LARGEST_ANSWER_BYTES } from "../constants";
import { createCompletionCheck } from "./createCompletionCheck";

/** What reading an answer can come to. */
export interface AnswerHandlers {
    /** Called with each part, before the next is read. */
    readonly handlePart: () => void;
    readonly handleWhole: (body: Buffer) => void;
    readonly handleTooLarge: () => void;
    readonly handleError: (error: Error) => void;
}

/**
 * Reads an answer to its end.
 *
 * @param response - The answer
 * @param handlers - What is called on the way
 * @example
 * readWholeAnswer(response, { handlePart, handleWhole, handleTooLarge, handleError });
 */
export function readWholeAnswer(response: http.IncomingMessage, handlers: AnswerHandlers): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    response.on("data", (chunk: Buffer) => {
        handlers.handlePart();
        bytes += chunk.length;
        if (bytes > LARGEST_ANSWER_BYTES) {
            handlers.handleTooLarge();
        } else {
            chunks.push(chunk);
        }
    });
    response.on("error", handlers.handleError);
    const isComplete = createCompletionCheck(response);
    response.on("end", () => {
        void isComplete().then(complete =>
            complete
                ? handlers.handleWhole(Buffer.concat(chunks))
                : handlers.handleError(new Error("The answer was cut off.")),
        );
    });
}
