/**
 * @module The end of an attempt.
 */
import { Execution, type Failure } from "../../../base/failure";
import { AttemptReportKind } from "../../routing/routingClient";
import type { ChatRun, LiveAttempt } from "./chatRun";

/**
 * Ends an attempt: its events are no longer read, routing hears how it ended, and what is known of its execution is
 * kept.
 *
 * @param run - The request
 * @param attempt - The attempt
 * @param kind - How it ended
 * @param failure - For `Failed`
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
    run.shared.parts.routing.recordReport({
        kind,
        id: attempt.id,
        endpointId: attempt.endpoint.endpointId,
        elapsedMs: run.shared.parts.clock.readMonotonicMs() - attempt.sentAtMs,
        tokens: 0,
        failure,
    });
}

// An engine's word that it ran nothing is enough for another attempt, but not for telling the caller so.
function computeExecution(attempt: LiveAttempt, kind: AttemptReportKind): Execution {
    if (attempt.tokens > 0 || kind === AttemptReportKind.Finished) {
        return Execution.Ran;
    }
    return attempt.generation.hasSentBytes() ? Execution.Unknown : Execution.NotRun;
}
