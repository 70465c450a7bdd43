/**
 * @module Creates failures.
 */
import { Execution, type Failure, type FailureKind } from "./failure";

/**
 * Creates a failure. Its `execution` is `NotRun` unless the options say otherwise.
 *
 * @param kind - The kind of failure
 * @param message - A human-readable sentence without secrets
 * @param options - `execution`, `retryAfterMs` and `details`, as in `Failure`
 * @returns The failure
 * @example
 * createFailure(FailureKind.Overloaded, "The queue of the class is full.", { retryAfterMs: 800 });
 */
export function createFailure(
    kind: FailureKind,
    message: string,
    options: Partial<Pick<Failure, "execution" | "retryAfterMs" | "details">> = {},
): Failure {
    return { kind, message, execution: Execution.NotRun, ...options };
}
