/**
 * @module The log line of a task that failed and is started again.
 */
import type { Failure } from "../failure";
import type { Log } from "./log";

/**
 * Builds the reporter that a supervisor calls on each failure of its task.
 *
 * @param log - Where the line goes
 * @returns The reporter
 * @example
 * superviseTask("duties", run, { clock, reportFailure: logTaskFailure(log) });
 */
export function logTaskFailure(log: Log): (name: string, failure: Failure) => void {
    return (name, failure) => log.error("task failed", { name, reason: failure.message });
}
