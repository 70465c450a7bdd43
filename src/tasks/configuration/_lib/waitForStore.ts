/**
 * @module Bounded waits for the store.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../../../base/clock";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";

/**
 * Waits for a call to the store, but no longer than a bound. A call that answers later has no further effect here; for
 * a write the outcome is then unknown.
 *
 * @param call - The call's promise
 * @param clock - Where the bound is measured
 * @param boundMs - The bound in milliseconds
 * @returns The call's result, or `StoreOutcomeUnknown` once the bound has passed
 */
export async function waitForStore<T>(
    call: Promise<Result<T, Failure>>,
    clock: Clock,
    boundMs: number,
): Promise<Result<T, Failure>> {
    const lost = createFailure(FailureKind.StoreOutcomeUnknown, `The store gave no answer in ${boundMs} ms.`);
    const bound = clock.waitMs(boundMs).then(() => err(lost));
    return Promise.race([call, bound]);
}
