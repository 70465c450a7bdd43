/**
 * @module Identities of attempts.
 */
import type { AttemptId } from "../../../model/request";
import type { ChatRun } from "./chatRun";

/**
 * Creates the identity of the next attempt.
 *
 * @param run - The request
 * @returns An identity that no earlier attempt of the request had
 * @example
 * const id = createAttemptId(run);
 */
export function createAttemptId(run: ChatRun): AttemptId {
    run.attemptNumber++;
    return { requestId: run.context.requestId, attempt: run.attemptNumber };
}
