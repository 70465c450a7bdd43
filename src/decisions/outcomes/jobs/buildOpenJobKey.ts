/**
 * @module Builds the keys of open rows, which exist only for jobs that have not ended.
 */
import { OPEN_JOB_PREFIX } from "./jobRows";

/**
 * Builds the key of a job's open row, which is removed when the job ends.
 *
 * @param jobId - Id of the job
 * @returns The key
 * @example
 * table.readRow(buildOpenJobKey(jobId));
 */
export function buildOpenJobKey(jobId: string): string {
    return `${OPEN_JOB_PREFIX}${jobId}`;
}
