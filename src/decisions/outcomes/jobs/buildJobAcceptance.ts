/**
 * @module The conditional write that accepts a job.
 */
import type { JobCommitEntry, JobRecord, OpenJob } from "./jobRecord";
import { buildJobKey } from "./buildJobKey";
import { buildOpenJobKey } from "./buildOpenJobKey";

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
