/**
 * @module Bounds of version moves and of the statistics behind them. `docs/design/version-moves.md` derives them.
 */

/** Shares of new requests that a move passes through. The first is small: an immediate fault meets few requests. */
export const MOVE_SHARES: readonly number[] = [0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1];

/** A move is taken back unless it can be committed as done this long before its time, in force everywhere by then. */
export const FINISH_MARGIN_MS = 15_000;

/** Shortest stay at a share, so that evidence of all nodes and faults that need a moment can show. */
export const MINIMUM_STAY_MS = 10_000;

/** Longest observation at share 1 before a move is done. */
export const MAXIMUM_OBSERVATION_MS = 60_000;

/** Part of a move's whole time that is spent observing at share 1, where that is shorter. */
export const OBSERVATION_FRACTION = 0.2;

/** Part of a move's whole time before which it is not done, so that faults that begin later can still show. */
export const EARLIEST_FINISH_FRACTION = 0.5;

/** Attempts on the new version that allow a step before its planned time. */
export const OBSERVATIONS_FOR_EARLY_STEP = 50;

/** Attempts on the new version without which no step is made, also at its planned time, while there is traffic. */
export const MINIMUM_OBSERVATIONS = 5;

/** A route with this part of the old version's attempts must also have been seen on the new one. */
export const SIGNIFICANT_ROUTE_FRACTION = 0.05;

/** Attempts on such a route that allow a step before its planned time. */
export const OBSERVATIONS_PER_ROUTE = 10;

/** Failure rate that any version is allowed. */
export const ALLOWED_FAILURE_RATE = 0.005;

/** Rate at which the answers of a good version may be slower than the bounds below. */
export const ALLOWED_SLOW_RATE = 0.15;

/** First tokens later than this multiple of what 9 in 10 of the old version's take are slow. */
export const SLOW_FIRST_TOKEN_FACTOR = 1.5;

/** Token gaps longer than this multiple of what 9 in 10 of the old version's are, are slow. */
export const SLOW_GAP_FACTOR = 1.3;

/** Percentile of the old version that slowness is measured from. */
export const REFERENCE_PERCENTILE = 90;

/** Observations of the old version in a cell before slowness there is judged. */
export const REFERENCE_OBSERVATIONS = 30;

/** Share of good versions that may be taken back wrongly, half of the 1% that is promised. */
export const FALSE_ROLLBACK_PROBABILITY = 0.005;

/** Sequential tests that run side by side in a typical move: 3 measures in 3 busy cells. */
export const TESTS_PER_MOVE = 9;

/** Observations of the old version between two looks at its percentile. */
export const REFERENCE_REFRESH_OBSERVATIONS = 32;
