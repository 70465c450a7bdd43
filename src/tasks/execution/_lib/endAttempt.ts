/**
 * @module Ends attempts.
 */
import { Execution, type Failure } from "../../../base/failure";
import { AttemptReportKind } from "../../routing/routingClient";
import type { ChatRun, LiveAttempt } from "./chatRun";

/**
 * Ends an attempt: stops reading its events, reports the result to routing and records what is known about its
 * execution.
 *
 * @param run - The request
 * @param attempt - The attempt
 * @param kind - How it ended
 * @param failure - The failure of a `Failed` attempt
 * @example
 * endAttempt(run, attempt, AttemptReportKind.Failed, failure);
 */
export function endAttempt(
    run: ChatRun,
    attempt: LiveAttempt,
    kind: AttemptReportKind.Finished | AttemptReportKind.Failed | AttemptReportKind.Cancelled,
    failure?: Failure,
): void {
    if (!run.live.delete(attempt.id.attempt)) {
        return;
    }
    run.pastExecutions.push(computeExecution(attempt, kind));
    attempt.releaseWatch();
    if (kind !== AttemptReportKind.Finished) {
        attempt.generation.cancel();
    }
    run.shared.dependencies.routing.recordReport({
        kind,
        id: attempt.id,
        endpointId: attempt.endpoint.endpointId,
        elapsedMs: run.shared.dependencies.clock.readMonotonicMs() - attempt.sentAtMs,
        tokens: 0,
        failure,
    });
}

// An engine's report that it ran nothing allows another attempt, but is not passed on to the caller as `NotRun`.
function computeExecution(attempt: LiveAttempt, kind: AttemptReportKind): Execution {
    if (attempt.tokens > 0 || kind === AttemptReportKind.Finished) {
        return Execution.Ran;
    }
    return attempt.generation.hasSentBytes() ? Execution.Unknown : Execution.NotRun;
}
