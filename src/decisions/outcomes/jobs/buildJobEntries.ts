/**
 * @module The conditional writes that change a job. Each is conditional on the rows it was decided from, so that of two
 * nodes that act on a job only one succeeds.
 */
import type { Failure } from "../../../base/failure";
import { JobState } from "../../../tasks/jobs/jobClient";
import type { JobAnswer, JobEntry, JobRecord, OpenJob, Versioned } from "./jobRecord";
import { buildAccountPrefix, buildBucketPrefix, ENDED_PREFIX, OPEN_PREFIX } from "./jobRows";

/** How a job ends. */
export interface JobEnding {
    readonly state: JobState.Succeeded | JobState.Failed | JobState.Cancelled;
    readonly answer?: JobAnswer;
    readonly answerObject?: string;
    readonly failure?: Failure;
}

/**
 * Builds the acceptance of a job.
 *
 * @param record - The job
 * @param holder - Lease of the accepting node, or empty
 * @param keyValue - Content of the row that binds an idempotency key to the job
 * @returns The entry; it conflicts if the key is bound already
 * @example
 * commits.commitEntry(buildAcceptance(record, leaseName));
 */
export function buildAcceptance(record: JobRecord, holder: string, keyValue?: string): JobEntry {
    const { jobId, accountName, deadlineWallMs, keyRow } = record;
    const open: OpenJob = { jobId, accountName, holder, epoch: 1, deadlineWallMs };
    const writes = [
        { key: buildJobKey(record), value: JSON.stringify(record) },
        { key: buildOpenKey(jobId), value: JSON.stringify(open) },
        ...(keyRow === undefined ? [] : [{ key: keyRow, value: keyValue }]),
    ];
    return { conditions: writes.map(({ key }) => ({ key, version: undefined })), writes };
}

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
export function buildEnding(
    job: Versioned<JobRecord>,
    open: Versioned<OpenJob>,
    ending: JobEnding,
    nowWallMs: number,
): JobEntry {
    const ended: JobRecord = { ...job.record, ...ending, endedAtWallMs: nowWallMs };
    const jobKey = buildJobKey(job.record);
    const openKey = buildOpenKey(job.record.jobId);
    const endedKey = `${buildBucketPrefix(ENDED_PREFIX, nowWallMs)}${job.record.jobId}`;
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

/**
 * Builds the change of a job's holder: a node takes it, or gives it up.
 *
 * @param open - The open row
 * @param holder - Lease of the new holder, or empty
 * @returns The entry, whose epoch is one higher
 * @example
 * commits.commitEntry(buildHandover(open, leaseName));
 */
export function buildHandover(open: Versioned<OpenJob>, holder: string): JobEntry {
    const key = buildOpenKey(open.record.jobId);
    const changed: OpenJob = { ...open.record, holder, epoch: open.record.epoch + 1 };
    return { conditions: [{ key, version: open.version }], writes: [{ key, value: JSON.stringify(changed) }] };
}

/**
 * Builds the key of a job's row.
 *
 * @param job - Account and id
 * @returns The key
 * @example
 * table.readRow(buildJobKey({ accountName, jobId }));
 */
export function buildJobKey(job: Pick<JobRecord, "accountName" | "jobId">): string {
    return `${buildAccountPrefix(job.accountName)}${job.jobId}`;
}

/**
 * Builds the key of the row that a job has while it has not ended.
 *
 * @param jobId - The job
 * @returns The key
 * @example
 * table.readRow(buildOpenKey(jobId));
 */
export function buildOpenKey(jobId: string): string {
    return `${OPEN_PREFIX}${jobId}`;
}
