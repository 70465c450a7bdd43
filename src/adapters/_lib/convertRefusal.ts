/**
 * @module Answers of endpoints that say no.
 */
import { createFailure } from "../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import type { EndpointAnswer } from "./sendEndpointCall";
import { HttpStatus } from "./httpStatus";

/**
 * Turns an answer with an error status into a failure.
 *
 * @param answer - The answer, status 400 or higher
 * @returns `EndpointFailed` from status 500, else `EndpointRefused`; `not_run` only if the endpoint says so itself in
 * an answer that is surely to this call
 * @example
 * convertRefusal({ ...answer, status: 429 }).kind; //=> FailureKind.EndpointRefused
 */
export function convertRefusal(answer: EndpointAnswer): Failure {
    const isNotRun = answer.isEchoed && answer.headers["redwinglift-execution"] === Execution.NotRun;
    const kind =
        answer.status >= HttpStatus.InternalServerError && !isNotRun
            ? FailureKind.EndpointFailed
            : FailureKind.EndpointRefused;
    return createFailure(kind, `The endpoint answered with status ${answer.status}.`, {
        execution: isNotRun ? Execution.NotRun : Execution.Unknown,
        details: { status: answer.status },
    });
}
