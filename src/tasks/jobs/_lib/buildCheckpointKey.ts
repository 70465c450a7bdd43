/**
 * @module Object-store keys of job checkpoints.
 */

/**
 * Builds the object key under which a job's checkpoint is stored.
 *
 * @param jobId - Id of the job
 * @returns Object key
 * @example
 * objects.deleteObject(buildCheckpointKey(jobId));
 */
export function buildCheckpointKey(jobId: string): string {
    return `jobs/checkpoints/${jobId}`;
}
