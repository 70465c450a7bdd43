/**
 * @module Answers of the platform that an adapter cannot use.
 */
import { err, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";

/**
 * Turns an answer that does not fit its call into a failure.
 *
 * @param status - The answer's status
 * @param hasEffect - Whether the call may have taken effect, judged by the adapter
 * @returns `StoreOutcomeUnknown` for a call that may have taken effect, else `StoreUnavailable`
 * @example
 * refuseAnswer(418, false);
 */
export function refuseAnswer(status: number, hasEffect: boolean): Result<never, Failure> {
    const kind = hasEffect ? FailureKind.StoreOutcomeUnknown : FailureKind.StoreUnavailable;
    return err(createFailure(kind, `The platform gave an unexpected answer with status ${status}.`));
}
