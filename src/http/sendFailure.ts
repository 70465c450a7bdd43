/**
 * @module Failure responses.
 */
import type { ServerResponse } from "node:http";
import { type Failure, FailureKind } from "../base/failure";
import { sendJson } from "./sendJson";
import { buildFailureBody } from "./buildFailureBody";
import { FAILURE_STATUS } from "./failureStatus";

const MS_PER_SECOND = 1_000;

// After these the rest of the request is not worth reading.
const CLOSING_KINDS: ReadonlySet<FailureKind> = new Set([FailureKind.CallerTooSlow, FailureKind.BodyTooLarge]);

/**
 * Tells the caller of a failure, with the status of its kind and a retry hint where it has one. When the response has
 * begun already, the connection is cut, so that the caller can't take the part for the whole.
 *
 * @param response - Where to
 * @param failure - The failure
 * @param requestId - The request's id, where one was given out
 * @param options - `hasFractionalSeconds`: true for callers that take fractions of a second as a retry hint
 * @example
 * sendFailure(response, createFailure(FailureKind.NotFound, "No such job."), requestId);
 */
export function sendFailure(
    response: ServerResponse,
    failure: Failure,
    requestId?: string,
    options: { readonly hasFractionalSeconds?: boolean } = {},
): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const headers: Record<string, string> = {};
    if (failure.retryAfterMs !== undefined) {
        const seconds = failure.retryAfterMs / MS_PER_SECOND;
        headers["retry-after"] = String(options.hasFractionalSeconds === true ? seconds : Math.ceil(seconds));
        headers["retry-after-ms"] = String(Math.ceil(failure.retryAfterMs));
    }
    if (failure.kind === FailureKind.Unauthenticated) {
        headers["www-authenticate"] = "Bearer";
    }
    if (CLOSING_KINDS.has(failure.kind)) {
        headers["connection"] = "close";
    }
    sendJson(response, FAILURE_STATUS[failure.kind], buildFailureBody(failure, requestId), headers);
}
