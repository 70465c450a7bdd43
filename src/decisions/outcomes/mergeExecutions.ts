/**
 * @module Derives whether a failed request was executed from its attempts.
 */
import { Execution } from "../../base/failure";

/**
 * Merges the execution status of all attempts of a request into one.
 *
 * @param attempts - The execution status of each attempt
 * @returns `Ran` if any attempt ran, `NotRun` only if none of them can have reached an endpoint, otherwise `Unknown`
 * @example
 * mergeExecutions([Execution.NotRun, Execution.Unknown]); //=> Execution.Unknown
 */
export function mergeExecutions(attempts: readonly Execution[]): Execution {
    if (attempts.includes(Execution.Ran)) {
        return Execution.Ran;
    }
    return attempts.includes(Execution.Unknown) ? Execution.Unknown : Execution.NotRun;
}
