/**
 * @module Constants of group commits and claims.
 */

/** How long a group waits for further entries. One node writes at most 1,000 / this many transactions a second. */
export const GROUP_WINDOW_MS = 25;

/** Entries of one transaction. */
export const MAXIMUM_GROUP_ENTRIES = 128;

/** Entries that may wait; more are refused as `StoreUnavailable`. */
export const COMMIT_QUEUE_CAPACITY = 1_000;

/** Tries of one transaction whose answers are lost, each after reading back. */
export const MAXIMUM_COMMIT_ATTEMPTS = 3;

/** Pause before a lost answer is read back again. */
export const READ_BACK_DELAY_MS = 50;

/** Outcomes up to this size stand in the claim's row; larger ones in the object store. */
export const MAXIMUM_INLINE_OUTCOME_CHARACTERS = 4_096;

/** A claim outlives its request's deadline by this much before it counts as unknown. */
export const CLAIM_GRACE_MS = 5_000;

/** Pause between tries of a claim or settlement while the store is down. */
export const STORE_RETRY_DELAY_MS = 100;

/** The longest pause between tries of a settlement. */
export const MAXIMUM_SETTLEMENT_RETRY_DELAY_MS = 5_000;

/** A settlement is tried for this long; after that the claim counts as unknown. */
export const SETTLEMENT_TIMEOUT_MS = 600_000;
