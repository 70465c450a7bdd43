/**
 * @module The conditional write that changes a job's holder.
 */
import type { JobCommitEntry, OpenJob, Versioned } from "./jobRecord";
import { buildOpenJobKey } from "./buildOpenJobKey";

/**
 * Builds the change of a job's holder: a node takes it, or gives it up.
 *
 * @param open - The open row
 * @param holder - Lease of the new holder, or empty
 * @returns The entry, whose epoch is one higher
 * @example
 * commits.commitEntry(buildHandover(open, leaseName));
 */
export function buildJobHandover(open: Versioned<OpenJob>, holder: string): JobCommitEntry {
    const key = buildOpenJobKey(open.record.jobId);
    const changed: OpenJob = { ...open.record, holder, epoch: open.record.epoch + 1 };
    return { conditions: [{ key, version: open.version }], writes: [{ key, value: JSON.stringify(changed) }] };
}
