/**
 * @module Builds the conditional write that accepts a job.
 */
import type { JobCommitEntry, JobRecord, OpenJob } from "./jobRecord";
import { buildJobKey } from "./buildJobKey";
import { buildOpenJobKey } from "./buildOpenJobKey";

/**
 * Builds the commit entry that accepts a job.
 *
 * @param record - The job
 * @param holder - Name of the accepting node's lease; empty if no node holds the job yet
 * @param keyValue - Value of the row that binds an idempotency key to the job
 * @returns The entry, which conflicts if the key is already bound
 * @example
 * commits.commitEntry(buildJobAcceptance(record, leaseName));
 */
export function buildJobAcceptance(record: JobRecord, holder: string, keyValue?: string): JobCommitEntry {
    const { jobId, accountName, deadlineWallMs, keyRow } = record;
    const open: OpenJob = { jobId, accountName, holder, epoch: 1, deadlineWallMs };
    const writes = [
        { key: buildJobKey(record), value: JSON.stringify(record) },
        { key: buildOpenJobKey(jobId), value: JSON.stringify(open) },
        ...(keyRow === undefined ? [] : [{ key: keyRow, value: keyValue }]),
    ];
    return { conditions: writes.map(({ key }) => ({ key, version: undefined })), writes };
}
