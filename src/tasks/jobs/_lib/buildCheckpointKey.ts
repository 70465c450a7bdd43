/**
 * @module Keys of checkpoints.
 */

/**
 * Builds the key of a job's checkpoint.
 *
 * @param jobId - The job
 * @returns The object's key
 * @example
 * objects.deleteObject(buildCheckpointKey(jobId));
 */
export function buildCheckpointKey(jobId: string): string {
    return `jobs/checkpoints/${jobId}`;
}
