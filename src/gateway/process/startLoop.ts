/**
 * @module The loops of a gateway, which last as long as its process.
 */
import type { Clock } from "../../base/clock";
import { superviseTask, type TaskGenerator } from "../../base/csp/index";
import { FailureError } from "../../base/failureError";
import type { FailureOwner, FailureReporter } from "./createFailureReporter";

/** The clock of the pauses, and who learns of errors. */
export interface LoopOptions {
    readonly clock: Clock;
    readonly reportFailure: FailureReporter;
}

/**
 * Starts a loop. Whenever it throws, the error is reported, and the loop begins again after a pause.
 *
 * @param owner - Whose loop it is
 * @param body - The loop; the last one if it returns
 * @param options - Dependencies
 * @example
 * startLoop(FailureOwner.Membership, run, { clock, reportFailure });
 */
export function startLoop(owner: FailureOwner, body: () => TaskGenerator<void>, options: LoopOptions): void {
    const { clock, reportFailure } = options;
    superviseTask(owner, body, {
        clock,
        reportFailure: (_name, failure) => reportFailure(owner, new FailureError(failure)),
    }).catch((error: unknown) => reportFailure(owner, error));
}
