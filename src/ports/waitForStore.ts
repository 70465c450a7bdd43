/**
 * @module Limits the wait for a response of the store.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../base/clock";
import { createFailure } from "../base/createFailure";
import { Execution, type Failure, FailureKind } from "../base/failure";

const DEFAULT_STORE_TIMEOUT_MS = 3_000;

/**
 * Waits for a call to the store, up to a timeout. A call that takes longer is treated as one whose response was lost.
 *
 * @param clock - The clock that measures the timeout
 * @param call - The call in progress; a result after the timeout is ignored
 * @param timeoutMs - Timeout in milliseconds (default 3,000)
 * @returns The result of the call; failure after the timeout: `StoreOutcomeUnknown`
 * @example
 * const row = await waitForStore(clock, table.readRow(key), 2_000);
 */
export function waitForStore<T>(
    clock: Clock,
    call: Promise<Result<T, Failure>>,
    timeoutMs: number = DEFAULT_STORE_TIMEOUT_MS,
): Promise<Result<T, Failure>> {
    const timeout = clock.waitMs(timeoutMs).then(() =>
        err<T, Failure>(
            createFailure(FailureKind.StoreOutcomeUnknown, `The store did not respond within ${timeoutMs} ms.`, {
                execution: Execution.Unknown,
            }),
        ),
    );
    return Promise.race([call, timeout]);
}
