/**
 * @module Whether a job whose execution failed is executed again.
 */
import { Execution, type Failure, FailureKind } from "../../../base/failure";

const PASSING: ReadonlySet<FailureKind> = new Set([
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
 * Decides whether to execute a job again. A job that may not be repeated is protected by its claim as well: another
 * execution of it gives the recorded outcome, or says that it is unknown.
 *
 * @param failure - How the execution failed
 * @param isIdempotent - Whether the job may be executed more than once
 * @param leftMs - Milliseconds to the job's deadline
 * @param pauseMs - Milliseconds to the next try
 * @returns Whether to try again after the pause
 * @example
 * decideJobRetry(failure, true, 60_000, 500);
 */
export function decideJobRetry(failure: Failure, isIdempotent: boolean, leftMs: number, pauseMs: number): boolean {
    const isHarmless =
        isIdempotent || failure.execution === Execution.NotRun || failure.kind === FailureKind.IdempotencyKeyInProgress;
    return PASSING.has(failure.kind) && isHarmless && leftMs > pauseMs;
}
