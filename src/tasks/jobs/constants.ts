/**
 * @module Constants of the durable jobs of a node.
 */

/** Bodies of jobs that are accepted within this time share one object. */
export const BODY_WINDOW_MS = 20;

/** Bytes of bodies in one object. */
export const BODY_GROUP_BYTES = 4_000_000;

/** Acceptances that may wait for the store; further jobs are refused as `Overloaded`. */
export const WAITING_ACCEPTANCES = 500;

/** Hint to a caller whose job was refused because too many wait. */
export const ACCEPTANCE_RETRY_MS = 500;

/** A dead node's jobs are taken over after this and the lease's margin. One renewal each quarter of it. */
export const JOB_LEASE_MS = 20_000;

/** A node without open jobs gives its lease up after this, and then costs the store nothing. */
export const IDLE_LEASE_MS = 60_000;

/** How often a node looks for jobs to take, in clusters up to `POLLING_NODES`; beyond that, less often. */
export const JOB_POLL_MS = 2_000;

/** Polls of all nodes together stay at `POLLING_NODES` each `JOB_POLL_MS`. */
export const POLLING_NODES = 20;

/** Jobs that a node takes or adopts in one poll; leaves some to the other nodes. */
export const TAKEN_PER_POLL = 16;

/** Jobs that a node executes at the same time; admission orders them further. */
export const RUNNING_JOBS = 64;

/** Rows of one page of a listing. */
export const PAGE_ROWS = 500;

/** Answers up to this size stand in the job's row; larger ones in the object store. */
export const INLINE_ANSWER_CHARACTERS = 4_096;

/** First pause before a job is executed again, or a write is tried again. */
export const JOB_RETRY_MS = 250;

/** The longest such pause. */
export const LONGEST_JOB_RETRY_MS = 5_000;

/** Tokens between two decisions about a checkpoint. */
export const CHECKPOINT_TOKENS = 256;

/** Chance that a node is lost without warning between two decisions about a checkpoint. */
export const NODE_LOSS_CHANCE = 0.000_001;

/** Prices in the decision about a checkpoint, in millionths of the currency. */
export const CHECKPOINT_PRICES = { microsPerThousandTokens: 8_000, writeMicros: 5, missMicros: 1_000_000 };

/** How often a shutdown looks whether the jobs that it waits for have ended. */
export const DRAIN_POLL_MS = 50;

/** How often a node removes what is past its retention. */
export const CLEANING_MS = 600_000;

/** Rows removed in one transaction. */
export const CLEANED_ROWS = 100;
