/**
 * @module The failure of a request that is not sent on because of a part of its prompt.
 */
import { createFailure } from "../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { RETRY_AFTER_MS } from "../constants";

/**
 * Describes why a request is not sent, or not sent again.
 *
 * @param executions - Attempts that may have been executed before
 * @param retryAfterMs - Time after which the part may be tried again, if it is known
 * @returns The failure; the outcome is unknown after an attempt that may have been executed
 * @example
 * describePartRefusal(0, 12_000).execution; //=> Execution.NotRun
 */
export function describePartRefusal(executions: number, retryAfterMs = RETRY_AFTER_MS): Failure {
    const message = "This request, or each one with a part of its prompt, may crash endpoints.";
    return executions === 0
        ? createFailure(FailureKind.PromptQuarantined, message, { retryAfterMs })
        : createFailure(FailureKind.OutcomeUnknown, message, { execution: Execution.Unknown });
}
