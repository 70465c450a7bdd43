/**
 * @module Records the final state of a job.
 */
import { type Step, waitFor } from "../../../base/csp";
import { FailureKind } from "../../../base/failure";
import { Metric } from "../../../base/metrics/metric";
import { type JobResult } from "../../../decisions/outcomes/jobs/jobResult";
import { buildJobEnding } from "../../../decisions/outcomes/jobs/buildJobEnding";
import type { JobRecord, OpenJob, Versioned } from "../../../decisions/outcomes/jobs/jobRecord";
import { INITIAL_JOB_RETRY_DELAY_MS, MAXIMUM_JOB_RETRY_DELAY_MS } from "../constants";
import type { SharedJobState } from "./sharedJobState";
import { readJobRows } from "./readJobRows";

/**
 * Writes the final state of a job, retrying until the store has confirmed or rejected it. If another node has ended the
 * job or has taken it over, nothing is changed.
 *
 * @param shared - State of the job task
 * @param job - Row of the job
 * @param open - Open row of the job as last seen by this node
 * @param ending - Final state, with the answer or failure
 * @returns Whether this call's final state is the recorded one
 * @example
 * const isEnded = yield* endJob(shared, run.job, run.open, { state: JobState.Succeeded, answer });
 */
export function* endJob(
    shared: SharedJobState,
    job: Versioned<JobRecord>,
    open: Versioned<OpenJob>,
    ending: JobResult,
): Step<boolean> {
    const { clock, commits } = shared.options;
    const endedAtWallMs = clock.readWallMs();
    const entry = buildJobEnding(job, open, ending, endedAtWallMs);
    let pauseMs = INITIAL_JOB_RETRY_DELAY_MS;
    for (;;) {
        const committed = yield* waitFor(commits.commitEntry(entry));
        if (committed.isOk()) {
            return countEnd(shared, job.record, ending);
        }
        if (committed.error.kind !== FailureKind.StoreUnavailable) {
            const rows = yield* waitFor(readJobRows(shared.options, job.record.accountName, job.record.jobId));
            if (rows.isOk()) {
                const { record } = rows.value.job;
                const isOwn = record.state === ending.state && record.endedAtWallMs === endedAtWallMs;
                const isChanged = rows.value.open?.version !== open.version;
                if (isOwn) {
                    return countEnd(shared, job.record, ending);
                }
                if (isChanged) {
                    shared.counts.lost++;
                    return false;
                }
            } else if (rows.error.kind === FailureKind.NotFound) {
                return false;
            }
        }
        yield* waitFor(clock.waitMs(pauseMs));
        pauseMs = Math.min(MAXIMUM_JOB_RETRY_DELAY_MS, pauseMs * 2);
    }
}

function countEnd(shared: SharedJobState, record: JobRecord, ending: JobResult): boolean {
    shared.counts.ended++;
    shared.options.metrics?.count(Metric.JobsEnded, { class: record.className, outcome: ending.state });
    return true;
}
