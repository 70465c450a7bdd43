/**
 * @module Ends chat requests with a failure.
 */
import type { Failure } from "../../../base/failure";
import { mergeExecutions } from "../../../decisions/outcomes/mergeExecutions";
import { AttemptReportKind } from "../../routing/routingClient";
import type { ChatRun } from "./chatRun";
import { endAttempt } from "./endAttempt";

/**
 * Ends a request with a failure. What the caller is told about execution is merged from all attempts.
 *
 * @param run - The request
 * @param failure - The failure to report
 * @example
 * failRun(run, createFailure(FailureKind.DeadlineExceeded, "..."));
 */
export function failRun(run: ChatRun, failure: Failure): void {
    if (run.end !== undefined) {
        return;
    }
    for (const attempt of [...run.live.values()]) {
        endAttempt(run, attempt, AttemptReportKind.Cancelled);
    }
    const execution = mergeExecutions(run.pastExecutions);
    run.end = { isSuccess: false, failure: { ...failure, execution } };
}
