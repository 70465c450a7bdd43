/**
 * @module A bound on how long an answer of the store is waited for.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../base/clock";
import { createFailure } from "../base/createFailure";
import { Execution, type Failure, FailureKind } from "../base/failure";

/** Longest wait for an answer of the store, in milliseconds, where the caller states none. */
const STORE_ANSWER_BOUND_MS = 3_000;

/**
 * Waits for a store call, but not for ever: a call without an answer counts as one whose answer was lost.
 *
 * @param clock - The clock that bounds the wait
 * @param call - The call under way; an answer that comes later is not looked at
 * @param boundMs - Longest wait in milliseconds (default 3,000)
 * @returns Its result, or `StoreOutcomeUnknown`
 * @example
 * const row = await waitForStore(clock, table.readRow(key), 2_000);
 */
export function waitForStore<T>(
    clock: Clock,
    call: Promise<Result<T, Failure>>,
    boundMs: number = STORE_ANSWER_BOUND_MS,
): Promise<Result<T, Failure>> {
    const lost = clock.waitMs(boundMs).then(() =>
        err<T, Failure>(
            createFailure(FailureKind.StoreOutcomeUnknown, `The store gave no answer in ${boundMs} ms.`, {
                execution: Execution.Unknown,
            }),
        ),
    );
    return Promise.race([call, lost]);
}
