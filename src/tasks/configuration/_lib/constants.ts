/**
 * @module Limits and periods of the configuration task.
 */

/** Time between two reads of the head row by one node, before jitter. 400 nodes at this period read 100 rows a second. */
export const POLL_PERIOD_MS = 4_000;
/** Share of the poll period by which a wait may be shorter or longer, so that nodes do not poll together. */
export const POLL_JITTER = 0.25;
/** First wait after a poll that failed; it doubles up to the poll period. */
export const FIRST_RETRY_DELAY_MS = 250;
/** Change rows kept in the table. A node that lacks more than this reads every item instead. */
export const KEPT_CHANGES = 1_000;
/** Rows asked for in one read. */
export const ROWS_PER_READ = 500;
/** Tries of one transaction whose answers are lost, before its outcome is reported as unknown. */
export const COMMIT_TRIES = 6;
/** Bound on any single wait for the store; a call that takes longer counts as lost. */
export const STORE_CALL_TIMEOUT_MS = 3_000;
/** Wait between two tries of a commit. */
export const COMMIT_RETRY_DELAY_MS = 200;
/** Largest change pushed whole; of a larger one only the revision is pushed, and receivers fetch it. */
export const PUSHED_CHANGE_MAX_BYTES = 700;
/** Failure domains that must show a revision before a node without the store starts from it. */
export const BOOTSTRAP_DOMAINS = 2;
/** Time between two looks at who has applied a revision. */
export const IN_FORCE_CHECK_MS = 100;
/** Changes handed to another node in one answer; a node that lacks more receives the whole configuration. */
export const CHANGES_PER_ANSWER = 50;
