/**
 * @module Formats a failure as a whole answer, for a connection whose request was not parsed.
 */
import type { Failure } from "../base/failure";
import { buildFailureBody } from "./buildFailureBody";

const MS_PER_SECOND = 1_000;

/**
 * Formats the answer. It states that the connection is closed after it.
 *
 * @param statusLine - Status and reason
 * @param failure - The failure
 * @returns The head and the body
 * @example
 * socket.end(formatRawFailure("400 Bad Request", failure));
 */
export function formatRawFailure(statusLine: string, failure: Failure): string {
    const body = JSON.stringify(buildFailureBody(failure));
    const headers = [
        `HTTP/1.1 ${statusLine}`,
        "content-type: application/json; charset=utf-8",
        `content-length: ${Buffer.byteLength(body)}`,
        ...(failure.retryAfterMs === undefined ? [] : [`retry-after: ${failure.retryAfterMs / MS_PER_SECOND}`]),
        "connection: close",
    ];
    return `${headers.join("\r\n")}\r\n\r\n${body}`;
}
