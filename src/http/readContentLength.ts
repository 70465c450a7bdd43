/**
 * @module Reads the length of a message's body from its headers.
 */
import type { IncomingHttpHeaders } from "node:http";

/**
 * Reads the length that a message states.
 *
 * @param headers - The headers of a request or an answer
 * @returns The length in bytes; `undefined` if the message states none
 * @example
 * const bytes = readContentLength(request.headers);
 */
export function readContentLength(headers: IncomingHttpHeaders): number | undefined {
    const stated = headers["content-length"];
    return stated === undefined || headers["transfer-encoding"] !== undefined ? undefined : Number(stated);
}
