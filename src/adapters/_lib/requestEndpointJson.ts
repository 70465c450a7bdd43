/**
 * @module Calls to endpoints that are answered with JSON.
 */
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { createFailure } from "../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { sendEndpointCall } from "./sendEndpointCall";
import type { HttpCall } from "./sendHttpCall";
import { convertRefusal } from "./convertRefusal";
import type { ConnectionPool } from "./createConnectionPool";
import type { HttpTarget } from "./httpTarget";
import { parseAnswer } from "./parseAnswer";
import { HttpStatus } from "./httpStatus";

/**
 * Sends a call to an endpoint and reads the JSON of a good answer.
 *
 * @param target - The endpoint
 * @param call - The call
 * @param schema - What the answer must be
 * @param pool - Kept connections; absent: a new connection
 * @returns The value; `EndpointRefused` or `EndpointFailed` for an answer that is not good
 * @example
 * const load = await requestEndpointJson(endpoint, { method: "GET", path: "/redwinglift/load" }, loadSchema, pool);
 */
export async function requestEndpointJson<T>(
    target: HttpTarget,
    call: HttpCall,
    schema: z.ZodType<T>,
    pool?: ConnectionPool,
): Promise<Result<T, Failure>> {
    const answer = await sendEndpointCall(target, call, pool);
    return answer.andThen(value => {
        if (value.status >= HttpStatus.BadRequest) {
            return err(convertRefusal(value));
        }
        const parsed = parseAnswer(value.body, schema);
        const message = "The endpoint gave an answer that can't be read.";
        return parsed === undefined
            ? err(createFailure(FailureKind.EndpointFailed, message, { execution: Execution.Unknown }))
            : ok(parsed);
    });
}
