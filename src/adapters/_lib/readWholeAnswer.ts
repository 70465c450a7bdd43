/**
 * @module Answers that are read whole.
 */
import type http from "node:http";
import { createByteAccumulator } from "../../base/createByteAccumulator";
import type { MemoryLease } from "../../base/createMemoryBudget";
import { readContentLength } from "../../http/readContentLength";
import { hasBody } from "./hasBody";
import { createCompletionCheck } from "./createCompletionCheck";

/** How much of an answer is read. */
export interface AnswerLimits {
    /** Method of the request. */
    readonly method: string;
    /** Largest size, in bytes. */
    readonly bytesMax: number;
    /** Where the bytes are held; while there is no room, the answer isn't read. Absent: they are not counted. */
    readonly memory?: MemoryLease;
}

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
 * @param limits - Method of the request, largest size, and where the bytes are held
 * @param handlers - What is called on the way
 * @example
 * readWholeAnswer(response, { method, bytesMax: LARGEST_ANSWER_BYTES }, { handlePart, handleWhole, handleTooLarge, handleError });
 */
export function readWholeAnswer(
    response: http.IncomingMessage,
    { method, bytesMax, memory }: AnswerLimits,
    handlers: AnswerHandlers,
): void {
    const isBodyExpected = hasBody(response.statusCode ?? 0, method);
    const bytesExpected = isBodyExpected ? readContentLength(response.headers) : 0;
    if (bytesExpected !== undefined && bytesExpected > bytesMax) {
        handlers.handleTooLarge();
        return;
    }
    const body = createByteAccumulator({ bytesMax, bytesExpected });
    const waitForRoom = (bytes: number) => {
        if (memory?.setBytes(bytes) === false) {
            response.pause();
            memory.growWhenFree(bytes, () => response.resume());
        }
    };
    response.on("data", (piece: Buffer) => {
        handlers.handlePart();
        if (!body.append(piece)) {
            handlers.handleTooLarge();
        } else if (bytesExpected === undefined) {
            waitForRoom(body.countBytes());
        }
    });
    waitForRoom(bytesExpected ?? 0);
    response.on("error", handlers.handleError);
    const isComplete = createCompletionCheck(response, method);
    response.on("end", () => {
        isComplete()
            .then(complete =>
                complete
                    ? handlers.handleWhole(body.takeBytes())
                    : handlers.handleError(new Error("The answer was cut off.")),
            )
            .catch((error: unknown) => handlers.handleError(error instanceof Error ? error : new Error(String(error))));
    });
}
