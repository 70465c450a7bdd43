/**
 * @module The visible failure of a chat request.
 */
import type { Failure } from "../../../base/failure";
import { mergeExecutions } from "../../../decisions/outcomes/mergeExecutions";
import { AttemptReportKind } from "../../routing/routingClient";
import type { ChatRun } from "./chatRun";
import { endAttempt } from "./endAttempt";

/**
 * Ends a request with a failure. What the caller is told about execution comes from all attempts together.
 *
 * @param run - The request
 * @param failure - What went wrong
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
