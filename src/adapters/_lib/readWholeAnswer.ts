/**
 * @module Answers that are read whole.
 */
import type http from "node:http";
import { createByteAccumulator } from "../../base/createByteAccumulator";
import { readContentLength } from "../../http/readContentLength";
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
 * Reads an answer to its end. One that is too large isn't read on, and not at all if it says so itself.
 *
 * @param response - The answer
 * @param bytesMax - Largest size, in bytes
 * @param handlers - What is called on the way
 * @example
 * readWholeAnswer(response, LARGEST_ANSWER_BYTES, { handlePart, handleWhole, handleTooLarge, handleError });
 */
export function readWholeAnswer(response: http.IncomingMessage, bytesMax: number, handlers: AnswerHandlers): void {
    const bytesExpected = readContentLength(response.headers);
    if (bytesExpected !== undefined && bytesExpected > bytesMax) {
        handlers.handleTooLarge();
        return;
    }
    const body = createByteAccumulator({ bytesMax, bytesExpected });
    response.on("data", (piece: Buffer) => {
        handlers.handlePart();
        if (!body.append(piece)) {
            handlers.handleTooLarge();
        }
    });
    response.on("error", handlers.handleError);
    const isComplete = createCompletionCheck(response);
    response.on("end", () => {
        void isComplete().then(complete =>
            complete
                ? handlers.handleWhole(body.takeBytes())
                : handlers.handleError(new Error("The answer was cut off.")),
        );
    });
}
