/**
 * @module Keys of the rows that jobs have while they have not ended.
 */
import { OPEN_JOB_PREFIX } from "./jobRows";

/**
 * Builds the key of the row that a job has while it has not ended.
 *
 * @param jobId - The job
 * @returns The key
 * @example
 * table.readRow(buildOpenKey(jobId));
 */
export function buildOpenJobKey(jobId: string): string {
    return `${OPEN_JOB_PREFIX}${jobId}`;
}
