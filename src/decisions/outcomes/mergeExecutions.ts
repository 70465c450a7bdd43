/**
 * @module What a caller is told about whether a failed request was executed.
 */
import { Execution } from "../../base/failure";

/**
 * Joins what is known of a request's attempts.
 *
 * @param attempts - What is known of each attempt
 * @returns `Ran` if one is known to have run, `NotRun` only if no byte of any can have arrived, else `Unknown`
 * @example
 * decideExecution([Execution.NotRun, Execution.Unknown]); //=> Execution.Unknown
 */
export function mergeExecutions(attempts: readonly Execution[]): Execution {
    if (attempts.includes(Execution.Ran)) {
        return Execution.Ran;
    }
    return attempts.includes(Execution.Unknown) ? Execution.Unknown : Execution.NotRun;
}
