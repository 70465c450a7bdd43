/**
 * @module Periods and bounds of the version task.
 */

/** How often evidence is pooled and steps are considered. */
export const TICK_MS = 1_000;

/** Messages that wait for the task; a further report is dropped and counted. */
export const INBOX_CAPACITY = 4_096;

/** Nodes that try to hold the lease of a move: the holder and one that takes over. */
export const LEASE_CANDIDATES = 2;

/** Length of the lease of a move. */
export const MOVE_LEASE_MS = 10_000;

/** Shortest time between two evidence updates of one move. */
export const EVIDENCE_PERIOD_MS = 2_000;

/** Bytes a second that the evidence of all nodes may bring to each node. */
export const EVIDENCE_BYTES_PER_SECOND = 1_000;

/** Lost connections of one endpoint inside this time count as one failure: they have one cause, its VM or its process. */
export const CONNECTION_LOSS_WINDOW_MS = 2_000;

/** Attempts that are followed at once; the oldest is forgotten beyond that. */
export const TRACKED_ATTEMPTS = 20_000;

/** Endpoints of the new version may get this many times the mean load of all endpoints of the service. */
export const LOAD_MULTIPLE = 2;
