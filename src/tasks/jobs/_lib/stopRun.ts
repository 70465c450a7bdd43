/**
 * @module Stops the execution of a job.
 */
import type { JobRun } from "./sharedJobState";

/**
 * Stops the execution of a job on this node. The rows of the job are not changed.
 *
 * @param run - Run of the job
 * @example
 * stopRun(run);
 */
export function stopRun(run: JobRun): void {
    const state = run;
    state.isStopped = true;
    run.chat?.cancel();
}
