/**
 * @module Writing the end of a job.
 */
import { type TaskGenerator, waitFor } from "../../../base/csp";
import { FailureKind } from "../../../base/failure";
import { Metric } from "../../../base/metrics/metric";
import { type JobEnding } from "../../../decisions/outcomes/jobs/jobEnding";
import { buildEnding } from "../../../decisions/outcomes/jobs/buildEnding";
import type { JobRecord, OpenJob, Versioned } from "../../../decisions/outcomes/jobs/jobRecord";
import { JOB_RETRY_MS, LONGEST_JOB_RETRY_MS } from "../constants";
import type { JobShared } from "./jobShared";
import { readJobRows } from "./readJobRows";

/**
 * Writes the end of a job, trying until the store has answered. If another node has ended the job or holds it, nothing
 * is changed.
 *
 * @param shared - The job task
 * @param job - The job's row
 * @param open - Its open row as this node knows it
 * @param ending - How it ends
 * @returns Whether this end stands
 * @example
 * const isEnded = yield* endJob(shared, run.job, run.open, { state: JobState.Succeeded, answer });
 */
export function* endJob(
    shared: JobShared,
    job: Versioned<JobRecord>,
    open: Versioned<OpenJob>,
    ending: JobEnding,
): TaskGenerator<boolean> {
    const { clock, commits } = shared.options;
    const endedAtWallMs = clock.readWallMs();
    const entry = buildEnding(job, open, ending, endedAtWallMs);
    let pauseMs = JOB_RETRY_MS;
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
        pauseMs = Math.min(LONGEST_JOB_RETRY_MS, pauseMs * 2);
    }
}

function countEnd(shared: JobShared, record: JobRecord, ending: JobEnding): boolean {
    shared.counts.ended++;
    shared.options.metrics?.count(Metric.JobsEnded, { class: record.className, outcome: ending.state });
    return true;
}
