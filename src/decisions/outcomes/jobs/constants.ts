/**
 * @module Constants of durable jobs.
 */

/** Job ids sort newest first up to this many milliseconds after 1970 (the year 10889). */
export const MAXIMUM_JOB_ID_MS = 0xffffffffffff;

/** Ended jobs can be read for this long. */
export const JOB_RETENTION_MS = 7 * 24 * 3_600_000;

/** Longest time between acceptance and deadline; bodies are kept for this and the retention. */
export const MAXIMUM_JOB_MS = 24 * 3_600_000;

/** Width of the time buckets that cleaning works through. */
export const CLEANUP_BUCKET_MS = 3_600_000;

/** Clocks of nodes differ by less than this; others fail a job only this long after its deadline. */
export const DEADLINE_MARGIN_MS = 1_000;
