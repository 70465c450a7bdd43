/**
 * @module Calls that must not hold the task up for good.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../../../base/clock";
import { createFailure } from "../../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../../base/failure";
import { CALL_TIMEOUT_MS } from "../constants";

/**
 * Waits for a call, for at most `CALL_TIMEOUT_MS`.
 *
 * @param clock - The clock
 * @param call - The call
 * @returns Its result; failure besides its own: `StoreOutcomeUnknown` after the time
 * @example
 * const row = await waitForCall(clock, table.readRow(STATE_KEY));
 */
export function waitForCall<T>(clock: Clock, call: Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    const late = createFailure(FailureKind.StoreOutcomeUnknown, "The platform gave no answer in time.", {
        execution: Execution.Unknown,
    });
    return Promise.race([call, clock.waitMs(CALL_TIMEOUT_MS).then((): Result<T, Failure> => err(late))]);
}
