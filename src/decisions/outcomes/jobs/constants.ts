/**
 * @module Time limits of durable jobs.
 */

/** Latest time that a job id can encode, in epoch milliseconds (the year 10889). */
export const MAXIMUM_JOB_ID_MS = 0xffffffffffff;

/** Time for which ended jobs can be read, in milliseconds (7 days). */
export const JOB_RETENTION_MS = 7 * 24 * 3_600_000;

/** Longest time between acceptance and deadline (24 hours). Bodies are kept for this time plus `JOB_RETENTION_MS`. */
export const MAXIMUM_JOB_MS = 24 * 3_600_000;

/** Width of the time buckets that the cleanup works through, in milliseconds. */
export const CLEANUP_BUCKET_MS = 3_600_000;

/**
 * Milliseconds after its deadline from which a job is expired by nodes that do not run it. Exceeds the clock skew
 * between nodes, so that a job is not expired before its deadline by the clock of the node that runs it.
 */
export const DEADLINE_MARGIN_MS = 1_000;
