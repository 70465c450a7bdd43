/**
 * @module Parameters of version moves and their statistical tests. `docs/design/version-moves.md` derives them.
 *
 * A version move is the gradual rollout of a new version of a service. A trial is one attempt judged by one measure.
 */

/** Shares of new requests that a move passes through. Starts small, so that an immediate fault affects few requests. */
export const MOVE_SHARES: readonly number[] = [0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1];

/**
 * A move that is not committed as done this long before its deadline, in milliseconds, is rolled back. The margin lets
 * the commit reach every node before the deadline.
 */
export const FINISH_MARGIN_MS = 15_000;

/** Shortest time at a share, in milliseconds, so that delayed faults and the evidence of all nodes can arrive. */
export const MINIMUM_STAY_MS = 10_000;

/** Longest observation at share 1 before a move is done, in milliseconds. */
export const MAXIMUM_OBSERVATION_MS = 60_000;

/** Fraction of a move's total time spent at share 1, up to `MAXIMUM_OBSERVATION_MS`. */
export const OBSERVATION_FRACTION = 0.2;

/** Fraction of a move's total time before which it can't finish, so that faults that begin late are detected. */
export const EARLIEST_FINISH_FRACTION = 0.5;

/** Attempts on the new version that allow the next step before its planned time. */
export const OBSERVATIONS_FOR_EARLY_STEP = 50;

/** Attempts on the new version required for a step at its planned time, unless the service has almost no traffic. */
export const MINIMUM_OBSERVATIONS = 5;

/**
 * Fraction of the old version's attempts from which a route must also have been observed on the new version for a step
 * before its planned time.
 */
export const SIGNIFICANT_ROUTE_FRACTION = 0.05;

/** Attempts on the new version after which such a route counts as observed. */
export const OBSERVATIONS_PER_ROUTE = 10;

/** Failure rate that any version may have. */
export const ALLOWED_FAILURE_RATE = 0.005;

/** Rate of slow answers, as defined by the factors below, that any version may have. */
export const ALLOWED_SLOW_RATE = 0.15;

/** A first token is slow if it takes longer than this multiple of the old version's 90th percentile. */
export const SLOW_FIRST_TOKEN_FACTOR = 1.5;

/** A token gap is slow if it is longer than this multiple of the old version's 90th percentile. */
export const SLOW_GAP_FACTOR = 1.3;

/** Percentile of the old version's times that defines slow answers. */
export const REFERENCE_PERCENTILE = 90;

/** Observations of the old version required before the new version is compared with it. */
export const REFERENCE_OBSERVATIONS = 30;

/** Allowed probability that a good version is rolled back by a false alarm; half of the target of 1%. */
export const FALSE_ROLLBACK_PROBABILITY = 0.005;

/** Sequential tests that run in parallel in a typical move: 3 measures in 3 busy cells. */
export const TESTS_PER_MOVE = 9;

/** Observations of the old version between two updates of its percentile. */
export const REFERENCE_REFRESH_OBSERVATIONS = 32;
