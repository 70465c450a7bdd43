/**
 * @module The conditional write that ends a job.
 */
import type { JobCommitEntry, JobRecord, OpenJob, Versioned } from "./jobRecord";
import { ENDED_JOB_PREFIX } from "./jobRows";
import { buildBucketPrefix } from "./buildBucketPrefix";
import type { JobResult } from "./jobResult";
import { buildJobKey } from "./buildJobKey";
import { buildOpenJobKey } from "./buildOpenJobKey";

/**
 * Builds the end of a job. The first end that is written stays.
 *
 * @param job - The job's row
 * @param open - Its open row, as it was when the end was decided
 * @param ending - How it ends
 * @param nowWallMs - Epoch milliseconds
 * @returns The entry
 * @example
 * commits.commitEntry(buildEnding(job, open, { state: JobState.Succeeded, answer }, nowWallMs));
 */
export function buildJobEnding(
    job: Versioned<JobRecord>,
    open: Versioned<OpenJob>,
    ending: JobResult,
    nowWallMs: number,
): JobCommitEntry {
    const ended: JobRecord = { ...job.record, ...ending, endedAtWallMs: nowWallMs };
    const jobKey = buildJobKey(job.record);
    const openKey = buildOpenJobKey(job.record.jobId);
    const endedKey = `${buildBucketPrefix(ENDED_JOB_PREFIX, nowWallMs)}${job.record.jobId}`;
    return {
        conditions: [
            { key: jobKey, version: job.version },
            { key: openKey, version: open.version },
        ],
        writes: [
            { key: jobKey, value: JSON.stringify(ended) },
            { key: openKey, value: undefined },
            { key: endedKey, value: jobKey },
        ],
    };
}
