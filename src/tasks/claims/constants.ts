/**
 * @module Constants of group commits and claims.
 */

/** How long a group waits for further entries. A node starts at most 1,000 / `GROUP_WINDOW_MS` groups per second. */
export const GROUP_WINDOW_MS = 25;

/** Maximum number of entries per transaction. */
export const MAXIMUM_GROUP_ENTRIES = 128;

/** Entries that may be queued; further ones are refused as `StoreUnavailable`. */
export const COMMIT_QUEUE_CAPACITY = 1_000;

/** How often a transaction is sent while the store's responses are lost; the rows are read back after each attempt. */
export const MAXIMUM_COMMIT_ATTEMPTS = 3;

/** Delay between a lost response and reading back the rows; the write may take effect late. */
export const READ_BACK_DELAY_MS = 50;

/** Outcomes up to this size are stored in the claim's row; larger ones in the object store. */
export const MAXIMUM_INLINE_OUTCOME_CHARACTERS = 4_096;

/** A claim that is not settled this long after its request's deadline counts as unknown. */
export const CLAIM_GRACE_MS = 5_000;

/** Delay before a claim is retried while the store is unavailable, and first delay before a settlement is retried. */
export const STORE_RETRY_DELAY_MS = 100;

/** Upper limit of the delay between attempts to record a settlement; the delay doubles with each attempt. */
export const MAXIMUM_SETTLEMENT_RETRY_DELAY_MS = 5_000;

/** How long recording a settlement is retried; if it fails, the claim counts as unknown. */
export const SETTLEMENT_TIMEOUT_MS = 600_000;
