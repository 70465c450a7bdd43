/**
 * @module Keys of attempts.
 */
import type { AttemptId } from "../../model/request";

/**
 * Builds a text that is unique to an attempt.
 *
 * @param id - The attempt
 * @returns The key
 * @example
 * buildAttemptKey({ requestId: "01H", attempt: 2 }); //=> "01H/2"
 */
export function buildAttemptKey(id: AttemptId): string {
    return `${id.requestId}/${id.attempt}`;
}
