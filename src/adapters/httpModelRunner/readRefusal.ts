/**
 * @module Answers of engines that refuse a generation.
 */
import type http from "node:http";
import { Execution, type Failure } from "../../base/failure";
import { convertRefusal } from "../_lib/convertRefusal";

/**
 * Reads a refusal to its end, so that its connection can be used again.
 *
 * @param stream - The answer, with an error status
 * @param callId - The `x-request-id` that was sent
 * @returns The failure; `not_run` only if the engine says so in an answer that echoes the call's id
 * @example
 * const failure = await readRefusal(response, "01J.../1");
 */
export function readRefusal(stream: http.IncomingMessage, callId: string): Promise<Failure> {
    const said = stream.headers["redwinglift-execution"];
    const failure = convertRefusal({
        isAnswered: true,
        status: stream.statusCode ?? 0,
        headers: said === Execution.NotRun ? { "redwinglift-execution": said } : {},
        body: Buffer.alloc(0),
        isEchoed: stream.headers["x-request-id"] === callId,
    });
    return new Promise(resolve => {
        stream.on("end", () => resolve(failure));
        stream.on("error", () => resolve(failure));
        stream.resume();
    });
}
