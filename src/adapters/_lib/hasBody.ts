/**
 * @module Tells whether an answer has a body.
 */
import { HttpStatus } from "./httpStatus";

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([HttpStatus.NoContent, HttpStatus.NotModified]);

/**
 * Tells whether an answer has a body, which may be empty. Without one, it ends with its head, whatever its headers say.
 *
 * @param status - The status of the answer
 * @param method - The method of the request
 * @returns False for status 204 and 304, and for any answer to `HEAD`
 * @example
 * hasBody(204, "POST"); //=> false
 */
export function hasBody(status: number, method: string): boolean {
    return method !== "HEAD" && !STATUSES_WITHOUT_BODY.has(status);
}
