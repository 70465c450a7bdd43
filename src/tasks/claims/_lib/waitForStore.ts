/**
 * @module A bound on how long an answer of the store is waited for.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../../../base/clock";
import { createFailure } from "../../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../../base/failure";
import { STORE_ANSWER_BOUND_MS } from "../constants";

/**
 * Waits for a store call, but not for ever: a call without an answer counts as one whose answer was lost.
 *
 * @param clock - The clock that bounds the wait
 * @param call - The call under way
 * @returns Its result, or `StoreOutcomeUnknown`
 * @example
 * const row = await waitForStore(clock, table.readRow(key));
 */
export function waitForStore<T>(clock: Clock, call: Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    const lost = clock.waitMs(STORE_ANSWER_BOUND_MS).then(() =>
        err<T, Failure>(
            createFailure(FailureKind.StoreOutcomeUnknown, "The store did not answer in time.", {
                execution: Execution.Unknown,
            }),
        ),
    );
    return Promise.race([call, lost]);
}
