/**
 * @module The failure of a command that was called wrongly.
 */
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";

/**
 * Creates the failure of wrong usage; its exit code is 2.
 *
 * @param message - What is wrong
 * @returns The failure
 * @example
 * createUsageFailure("--to must be given.");
 */
export function createUsageFailure(message: string): Failure {
    return createFailure(FailureKind.InvalidSettings, message);
}
