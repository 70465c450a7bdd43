/**
 * @module Stopping the execution of a job.
 */
import type { JobRun } from "./jobShared";

/**
 * Stops a job here; its rows are left as they are.
 *
 * @param run - The job
 * @example
 * stopRun(run);
 */
export function stopRun(run: JobRun): void {
    const state = run;
    state.isStopped = true;
    run.chat?.cancel();
}
