/**
 * @module The machine-readable body of a failure.
 */
import type { Failure } from "../base/failure";

/** Error body in the shape that OpenAI clients read, with this project's fields beside it. */
export interface FailureBody {
    readonly error: {
        readonly message: string;
        /** The kind of failure; `code` repeats it for clients that look there. */
        readonly type: string;
        readonly code: string;
        /** What is known about execution: `not_run`, `unknown` or `ran`. */
        readonly execution: string;
        readonly request_id?: string;
        readonly retry_after_ms?: number;
        readonly details?: Readonly<Record<string, unknown>>;
    };
}

/**
 * Builds the body that tells a caller of a failure.
 *
 * @param failure - The failure
 * @param requestId - The request's id, where one was given out
 * @returns The body, ready for JSON
 * @example
 * buildFailureBody(createFailure(FailureKind.Overloaded, "The queue is full."), requestId);
 */
export function buildFailureBody(failure: Failure, requestId?: string): FailureBody {
    return {
        error: {
            message: failure.message,
            type: failure.kind,
            code: failure.kind,
            execution: failure.execution,
            request_id: requestId,
            retry_after_ms: failure.retryAfterMs,
            details: failure.details,
        },
    };
}
