/**
 * @module Builds the conditional write that changes a job's holder.
 */
import type { JobCommitEntry, OpenJob, Versioned } from "./jobRecord";
import { buildOpenJobKey } from "./buildOpenJobKey";

/**
 * Builds the commit entry that changes a job's holder: a node takes the job, or gives it up.
 *
 * @param open - The job's open row
 * @param holder - Name of the new holder's lease; empty if the job is given up
 * @returns The entry, which increments the epoch
 * @example
 * commits.commitEntry(buildJobHandover(open, leaseName));
 */
export function buildJobHandover(open: Versioned<OpenJob>, holder: string): JobCommitEntry {
    const key = buildOpenJobKey(open.record.jobId);
    const changed: OpenJob = { ...open.record, holder, epoch: open.record.epoch + 1 };
    return { conditions: [{ key, version: open.version }], writes: [{ key, value: JSON.stringify(changed) }] };
}
