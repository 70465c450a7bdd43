/**
 * @module Builds failures.
 */
import { Execution, type Failure, type FailureKind } from "./failure";

/**
 * Creates a failure. Unless stated otherwise nothing was run.
 *
 * @param kind - The kind of failure
 * @param message - A sentence for people, without secrets
 * @param options - `execution`, `retryAfterMs` and `details`, as in `Failure`
 * @returns The failure
 * @example
 * createFailure(FailureKind.Overloaded, "The class queue is full.", { retryAfterMs: 800 });
 */
export function createFailure(
    kind: FailureKind,
    message: string,
    options: Partial<Pick<Failure, "execution" | "retryAfterMs" | "details">> = {},
): Failure {
    return { kind, message, execution: Execution.NotRun, ...options };
}
