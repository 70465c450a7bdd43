/**
 * @module Building map keys of attempts.
 */
import type { AttemptId } from "../../model/request";

/**
 * Builds a string that identifies an attempt uniquely.
 *
 * @param id - The attempt
 * @returns The key
 * @example
 * buildAttemptKey({ requestId: "01H", attempt: 2 }); //=> "01H/2"
 */
export function buildAttemptKey(id: AttemptId): string {
    return `${id.requestId}/${id.attempt}`;
}
