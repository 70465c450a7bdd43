/**
 * @module Assigns attempt ids.
 */
import type { AttemptId } from "../../../model/request";
import type { ChatRun } from "./chatRun";

/**
 * Creates the id of the next attempt.
 *
 * @param run - The request
 * @returns An id that no earlier attempt of the request had
 * @example
 * const id = createAttemptId(run);
 */
export function createAttemptId(run: ChatRun): AttemptId {
    run.lastAttemptNumber++;
    return { requestId: run.context.requestId, attempt: run.lastAttemptNumber };
}
