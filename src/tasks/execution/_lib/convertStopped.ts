/**
 * @module The failure of a request that a shutdown ended.
 */
import { type Failure, FailureKind } from "../../../base/failure";

/**
 * Names the shutdown as the reason of a cancellation that the caller did not ask for.
 *
 * @param failure - How the request ended
 * @param isCancelledByCaller - Whether the caller has cancelled it
 * @returns The failure, `ShuttingDown` in place of `Cancelled`; what is known about execution stays
 * @example
 * convertStopped(failure, run.cancelled.aborted);
 */
export function convertStopped(failure: Failure, isCancelledByCaller: boolean): Failure {
    return failure.kind === FailureKind.Cancelled && !isCancelledByCaller
        ? { ...failure, kind: FailureKind.ShuttingDown, message: "The node stopped before the request had ended." }
        : failure;
}
