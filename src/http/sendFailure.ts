/**
 * @module Sends failure responses.
 */
import type { ServerResponse } from "node:http";
import { type Failure, FailureKind } from "../base/failure";
import { sendJson } from "./sendJson";
import { buildFailureBody } from "./buildFailureBody";
import { FAILURE_STATUS } from "./failureStatus";

const MS_PER_SECOND = 1_000;

// The connection is closed after these failures, because the rest of the request or connection is of no use.
const CONNECTION_CLOSING_KINDS: ReadonlySet<FailureKind> = new Set([
    FailureKind.CallerTooSlow,
    FailureKind.BodyTooLarge,
    FailureKind.ShuttingDown,
]);

/**
 * Sends a failure to the caller, with the HTTP status of its kind, and the retry headers if it has a retry delay. If
 * the response has already begun, the connection is closed instead, so that the caller can't mistake a partial response
 * for a complete one.
 *
 * @param response - The response to send
 * @param failure - The failure
 * @param requestId - The request's id, if one was assigned
 * @param options - `hasFractionalRetryAfter`: true for callers that accept fractions of a second in `retry-after`
 * @example
 * sendFailure(response, createFailure(FailureKind.NotFound, "No such job."), requestId);
 */
export function sendFailure(
    response: ServerResponse,
    failure: Failure,
    requestId?: string,
    options: { readonly hasFractionalRetryAfter?: boolean } = {},
): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const headers: Record<string, string> = {};
    if (failure.retryAfterMs !== undefined) {
        const seconds = failure.retryAfterMs / MS_PER_SECOND;
        headers["retry-after"] = String(options.hasFractionalRetryAfter === true ? seconds : Math.ceil(seconds));
        headers["retry-after-ms"] = String(Math.ceil(failure.retryAfterMs));
    }
    if (failure.kind === FailureKind.Unauthenticated) {
        headers["www-authenticate"] = "Bearer";
    }
    if (CONNECTION_CLOSING_KINDS.has(failure.kind)) {
        headers["connection"] = "close";
    }
    sendJson(response, FAILURE_STATUS[failure.kind], buildFailureBody(failure, requestId), headers);
}
