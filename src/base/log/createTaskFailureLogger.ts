/**
 * @module Logs the failures of supervised tasks.
 */
import type { Failure } from "../failure";
import type { Log } from "./log";

/**
 * Creates the callback that `superviseTask` calls on each failure of its task.
 *
 * @param log - The log to write to
 * @returns A function that logs the task's name and the failure's message
 * @example
 * superviseTask("duties", run, { clock, reportFailure: createTaskFailureLogger(log) });
 */
export function createTaskFailureLogger(log: Log): (name: string, failure: Failure) => void {
    return (name, failure) => log.error("task failed", { name, reason: failure.message });
}
