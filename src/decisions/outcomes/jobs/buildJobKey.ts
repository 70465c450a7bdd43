/**
 * @module Builds the keys of job rows.
 */
import type { JobRecord } from "./jobRecord";
import { buildAccountPrefix } from "./buildAccountPrefix";

/**
 * Builds the key of a job row.
 *
 * @param job - Account and id of the job
 * @returns The key
 * @example
 * table.readRow(buildJobKey({ accountName, jobId }));
 */
export function buildJobKey(job: Pick<JobRecord, "accountName" | "jobId">): string {
    return `${buildAccountPrefix(job.accountName)}${job.jobId}`;
}
