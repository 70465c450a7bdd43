/**
 * @module Decides whether to execute a job again after a failed execution.
 */
import { Execution, type Failure, FailureKind } from "../../../base/failure";

const TRANSIENT_KINDS: ReadonlySet<FailureKind> = new Set([
    FailureKind.Overloaded,
    FailureKind.TargetUnreachable,
    FailureKind.NoEndpoint,
    FailureKind.UnknownService,
    FailureKind.EndpointFailed,
    FailureKind.EndpointSilent,
    FailureKind.EndpointRefused,
    FailureKind.StoreUnavailable,
    FailureKind.IdempotencyKeyInProgress,
    FailureKind.TaskFailed,
]);

/**
 * Decides whether to execute a job again. A non-idempotent job is also protected by its claim: executing it again
 * returns the recorded outcome, or reports that the outcome is unknown.
 *
 * @param failure - How the execution failed
 * @param isIdempotent - Whether the job may be executed more than once
 * @param leftMs - Milliseconds until the job's deadline
 * @param pauseMs - Milliseconds until the next attempt
 * @returns Whether to execute the job again after the pause
 * @example
 * decideJobRetry(failure, true, 60_000, 500);
 */
export function decideJobRetry(failure: Failure, isIdempotent: boolean, leftMs: number, pauseMs: number): boolean {
    const isSafeToRepeat =
        isIdempotent || failure.execution === Execution.NotRun || failure.kind === FailureKind.IdempotencyKeyInProgress;
    return TRANSIENT_KINDS.has(failure.kind) && isSafeToRepeat && leftMs > pauseMs;
}
