/**
 * @module Limits and intervals of the configuration task.
 */

/** Interval at which a node reads the head row, before jitter. At this interval, 400 nodes read 100 rows a second. */
export const POLL_INTERVAL_MS = 4_000;
/** Fraction of the interval by which a wait may be shorter or longer, so that nodes do not poll in step. */
export const POLL_JITTER_FRACTION = 0.25;
/**
 * Base of the exponential backoff after failed polls: after n failures in a row the wait is this times 2^n, at most the
 * poll interval.
 */
export const POLL_BACKOFF_BASE_MS = 250;
/** Change rows retained in the table. A node that is further behind reads every item instead. */
export const RETAINED_CHANGES = 1_000;
/** Rows requested per page of a listing. */
export const ROWS_PER_PAGE = 500;
/** Attempts to commit a transaction whose responses are lost, before its outcome is reported as unknown. */
export const MAXIMUM_COMMIT_ATTEMPTS = 6;
/** Timeout of a store call; the response to a slower call counts as lost. */
export const STORE_CALL_TIMEOUT_MS = 3_000;
/** Delay between two attempts of a commit. */
export const COMMIT_RETRY_DELAY_MS = 200;
/** Largest encoded change that is pushed to other nodes. Of a larger one they learn only the revision, and fetch it. */
export const MAXIMUM_PUSHED_CHANGE_BYTES = 700;
/** Failure domains that must report a revision before a node that cannot reach the store starts from it. */
export const MINIMUM_BOOTSTRAP_DOMAINS = 2;
/** Interval between checks of which nodes have applied a revision. */
export const IN_FORCE_POLL_INTERVAL_MS = 100;
/** Most changes sent to another node in one response; a node that is further behind gets the whole configuration. */
export const MAXIMUM_CHANGES_PER_RESPONSE = 50;
