/**
 * @module The failure of a configuration that is not valid.
 */
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";

/**
 * Creates `InvalidConfiguration` with every problem.
 *
 * @param problems - One line each
 * @returns The failure; `details.problems` holds the lines
 * @example
 * createConfigurationFailure(["accounts.depot.defaultClass: there is no class digest"]);
 */
export function createConfigurationFailure(problems: readonly string[]): Failure {
    const count = problems.length === 1 ? "1 problem" : `${problems.length} problems`;
    return createFailure(FailureKind.InvalidConfiguration, `The configuration has ${count}.`, {
        details: { problems },
    });
}
