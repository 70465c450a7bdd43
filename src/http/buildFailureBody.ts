/**
 * @module Builds the JSON body of a failure response.
 */
import type { Failure } from "../base/failure";

/** An error body in the format of the OpenAI API, with additional fields of this project. */
export interface FailureBody {
    readonly error: {
        readonly message: string;
        /** The kind of failure; `code` repeats it for clients that read that field. */
        readonly type: string;
        readonly code: string;
        /** Whether the request was executed: `not_run`, `unknown` or `ran`. */
        readonly execution: string;
        readonly request_id?: string;
        readonly retry_after_ms?: number;
        readonly details?: Readonly<Record<string, unknown>>;
    };
}

/**
 * Builds the body of a failure response.
 *
 * @param failure - The failure
 * @param requestId - The request's id, if one was assigned
 * @returns The body, to be serialized as JSON
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
