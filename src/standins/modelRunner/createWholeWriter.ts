/**
 * @module Writes one generation to its reader as one JSON answer.
 */
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import type { Clock } from "../../base/clock";
import { sendReply } from "../_lib/sendReply";
import type { StandinCall } from "../_lib/standinCall";
import type { StreamWriter } from "./createStreamWriter";
import type { ParsedGeneration } from "./parseGeneration";

/**
 * Creates the writer of an answer that is sent whole at its end.
 *
 * @param call - The call that is answered
 * @param generation - The request
 * @param completionId - Id of the answer
 * @param clock - Dates the answer
 * @returns The writer
 * @example
 * createWholeWriter(call, generation, "chatcmpl-1", clock);
 */
export function createWholeWriter(
    call: StandinCall,
    generation: ParsedGeneration,
    completionId: string,
    clock: Clock,
): StreamWriter {
    const texts: string[] = [];
    return {
        writeToken: (_index, text) => {
            texts.push(text);
        },
        finish: (reason, usage) => {
            const message = { role: "assistant", content: texts.join("") };
            sendReply(call, {
                status: HttpStatus.Ok,
                body: {
                    id: completionId,
                    object: "chat.completion",
                    created: Math.floor(clock.readWallMs() / 1000),
                    model: generation.model,
                    choices: [{ index: 0, message, finish_reason: reason }],
                    usage: {
                        prompt_tokens: usage.promptTokens,
                        completion_tokens: usage.outputTokens,
                        total_tokens: usage.promptTokens + usage.outputTokens,
                    },
                },
            });
        },
        dispose: () => undefined,
    };
}
