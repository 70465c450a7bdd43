/**
 * @module Limits how long the fleet task waits for a call to the table or the cloud.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../../../base/clock";
import { createFailure } from "../../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../../base/failure";
import { CALL_TIMEOUT_MS } from "../constants";

/**
 * Waits for a call to the table or the cloud, for at most `CALL_TIMEOUT_MS`.
 *
 * @param clock - The clock that measures the timeout
 * @param call - The call in progress
 * @returns The result of the call; failure: `StoreOutcomeUnknown` after the timeout
 * @example
 * const row = await waitForCall(clock, table.readRow(STATE_KEY));
 */
export function waitForCall<T>(clock: Clock, call: Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    const timeout = createFailure(FailureKind.StoreOutcomeUnknown, "The platform did not respond in time.", {
        execution: Execution.Unknown,
    });
    return Promise.race([call, clock.waitMs(CALL_TIMEOUT_MS).then((): Result<T, Failure> => err(timeout))]);
}
