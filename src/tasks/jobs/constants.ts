/**
 * @module Constants of the task that accepts and executes durable jobs.
 */

/** Request bodies that are submitted within this time are stored in one object. */
export const BODY_GROUP_WINDOW_MS = 20;

/** Once an object holds this many bytes of request bodies, no further body is added to it. */
export const BODY_GROUP_BYTES = 4_000_000;

/** Submitted jobs that may wait for the store at the same time; further ones are refused as `Overloaded`. */
export const MAXIMUM_PENDING_SUBMISSIONS = 500;

/** When a caller should retry after its job was refused or could not be stored. */
export const SUBMISSION_RETRY_AFTER_MS = 500;

/**
 * Duration of a node's lease. The jobs of a dead node are taken over after this time plus the safety margin of leases.
 * The lease is renewed every quarter of this time.
 */
export const JOB_LEASE_MS = 20_000;

/** A node without open jobs releases its lease after this time, so that it causes no further writes for renewals. */
export const LEASE_IDLE_TIMEOUT_MS = 60_000;

/** Mean time between two polls of a node, in clusters of up to `FULL_RATE_POLLING_NODES` nodes. */
export const JOB_POLL_INTERVAL_MS = 2_000;

/**
 * In larger clusters each node polls less often, so that all nodes together poll this often per `JOB_POLL_INTERVAL_MS`.
 */
export const FULL_RATE_POLLING_NODES = 20;

/** Jobs that a node starts or ends in one poll; the limit leaves some to the other nodes. */
export const MAXIMUM_JOBS_PER_POLL = 16;

/** Jobs that a node executes at the same time; admission control then decides in which order they are served. */
export const MAXIMUM_RUNNING_JOBS = 64;

/** Rows per page when listing open jobs. */
export const LISTING_PAGE_ROWS = 500;

/** Answers up to this size are stored in the job's row; larger ones in the object store. */
export const MAXIMUM_INLINE_ANSWER_CHARACTERS = 4_096;

/** First delay before a failed execution or write is retried; the delay doubles with each retry. */
export const INITIAL_JOB_RETRY_DELAY_MS = 250;

/** Upper limit of that delay. */
export const MAXIMUM_JOB_RETRY_DELAY_MS = 5_000;

/** Tokens generated between two decisions whether to write a checkpoint. */
export const CHECKPOINT_INTERVAL_TOKENS = 256;

/** Probability that a node is lost without notice between two decisions whether to write a checkpoint. */
export const NODE_LOSS_PROBABILITY = 0.000_001;

/** Cost of generating tokens again, of writing a checkpoint and of a missed deadline, in millionths of the currency. */
export const CHECKPOINT_PRICES = { microsPerThousandTokens: 8_000, writeMicros: 5, missMicros: 1_000_000 };

/** How often a shutdown checks whether the jobs that it waits for have ended. */
export const DRAIN_POLL_INTERVAL_MS = 50;

/** Time between two cleanups on a node, per node in the cluster: with n nodes, each cleans up every n intervals. */
export const CLEANUP_INTERVAL_MS = 600_000;

/** Ended jobs, and stored request bodies, that one cleanup examines. */
export const CLEANUP_PAGE_SIZE = 100;
