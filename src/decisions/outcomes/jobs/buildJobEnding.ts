/**
 * @module Builds the conditional write that ends a job.
 */
import type { JobCommitEntry, JobRecord, OpenJob, Versioned } from "./jobRecord";
import { ENDED_JOB_PREFIX } from "./jobRows";
import { buildBucketPrefix } from "./buildBucketPrefix";
import type { JobResult } from "./jobResult";
import { buildJobKey } from "./buildJobKey";
import { buildOpenJobKey } from "./buildOpenJobKey";

/**
 * Builds the commit entry that ends a job. The first result to be written is final: the write is conditional on the
 * versions of both rows, so a later one conflicts.
 *
 * @param job - The job's row
 * @param open - The job's open row, as it was when the job's result was decided
 * @param result - The job's result
 * @param nowWallMs - Epoch milliseconds
 * @returns The entry
 * @example
 * commits.commitEntry(buildJobEnding(job, open, { state: JobState.Succeeded, answer }, nowWallMs));
 */
export function buildJobEnding(
    job: Versioned<JobRecord>,
    open: Versioned<OpenJob>,
    result: JobResult,
    nowWallMs: number,
): JobCommitEntry {
    const ended: JobRecord = { ...job.record, ...result, endedAtWallMs: nowWallMs };
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
