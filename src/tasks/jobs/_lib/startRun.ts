/**
 * @module Starts the execution of jobs that this node holds.
 */
import { assertInvariant, Invariant } from "../../../base/assertInvariant";
import { startTask } from "../../../base/csp";
import { Metric } from "../../../base/metrics/metric";
import { MAXIMUM_RUNNING_JOBS } from "../constants";
import type { JobRun, SharedJobState } from "./sharedJobState";
import { runJob } from "./runJob";

/**
 * Starts a job, or queues it while `MAXIMUM_RUNNING_JOBS` are running.
 *
 * @param shared - State of the job task
 * @param run - Run of a job that this node holds
 * @example
 * startRun(shared, run);
 */
export function startRun(shared: SharedJobState, run: JobRun): void {
    const { jobId } = run.job.record;
    const other = shared.runs.get(jobId);
    const isOther = other !== undefined && !other.isStopped && other.open.record.epoch === run.open.record.epoch;
    assertInvariant(!isOther, Invariant.OneHolderPerEpoch, `job ${jobId} started twice`);
    if (shared.runs.size >= MAXIMUM_RUNNING_JOBS) {
        shared.waiting.push(run);
        return;
    }
    shared.runs.set(jobId, run);
    shared.options.metrics?.setGauge(Metric.JobsOpen, shared.runs.size);
    void startTask(`job ${jobId}`, () => runJob(shared, run)).ended.then(end => {
        if (end.failure !== undefined) {
            shared.options.reportEvent("job task failed", { jobId, kind: end.failure.kind });
        }
        if (shared.runs.get(jobId) === run) {
            shared.runs.delete(jobId);
            shared.options.metrics?.setGauge(Metric.JobsOpen, shared.runs.size);
        }
        startNext(shared);
    });
}

function startNext(shared: SharedJobState): void {
    const next = shared.waiting.shift();
    if (next !== undefined && !next.isStopped && !shared.isDraining) {
        startRun(shared, next);
    }
}
