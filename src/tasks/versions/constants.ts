/**
 * @module Periods and limits of the version task.
 */

/** Interval at which the evidence of all nodes is pooled and moves are advanced. */
export const TICK_MS = 1_000;

/** Messages that can be queued for the task; any further message is dropped and counted. */
export const INBOX_CAPACITY = 4_096;

/** Nodes that try to acquire the lease of a move: the holder and one to take over from it. */
export const LEASE_CANDIDATES = 2;

/** Duration of the lease of a move without renewal. */
export const MOVE_LEASE_DURATION_MS = 10_000;

/** Minimum time between two periodic evidence updates of one move; a new failure is published earlier. */
export const MINIMUM_EVIDENCE_PERIOD_MS = 2_000;

/** Bytes per second of evidence that each node may receive from all nodes together. */
export const EVIDENCE_BYTES_PER_SECOND = 1_000;

/** Connection losses at one endpoint within this time count as one failure: they share one cause, its VM or process. */
export const CONNECTION_LOSS_WINDOW_MS = 2_000;

/** Attempts tracked at the same time; beyond that, the least recently used is evicted. */
export const MAXIMUM_TRACKED_ATTEMPTS = 20_000;

/** Maximum load of an endpoint of the new version, as a multiple of the mean load of all endpoints of the service. */
export const NEW_VERSION_LOAD_FACTOR = 2;
