/**
 * @module Constants shared by several modules of the gateway.
 */

/** Longest wait for a new connection to an endpoint; covers several round trips between regions. */
export const CONNECT_TIMEOUT_MS = 350;
/** Largest answer that is read whole before it is relayed. */
export const WHOLE_ANSWER_BYTES_MAX = 8 * 1_048_576;
/** Idle connections are closed this long before the endpoint would close them, so that none closes under a request. */
export const IDLE_CLOSE_MARGIN_MS = 1_000;
/** Idle time after which a connection is closed if the endpoint states no idle timeout. */
export const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** Longest idle time of a connection that a non-repeatable request may use; beyond it the request opens a new one. */
export const NON_REPEATABLE_IDLE_MAX_MS = 2_500;

/** Estimated network round-trip time to another failure domain of the same region, and to another region. */
export const SAME_REGION_RTT_MS = 2;
export const OTHER_REGION_RTT_MS = 60;

/** How long the parts of a prompt are assumed to stay in the cache of the endpoint that processed them last. */
export const CACHED_PART_TTL_MS = 30_000;
/** Most prompt parts that are remembered for each endpoint. */
export const CACHED_PARTS_MAX = 4_000;

/** An unreachable endpoint gets no requests for this long; the time doubles with each failure up to the maximum. */
export const SUSPECT_INITIAL_MS = 500;
export const SUSPECT_MAX_MS = 4_000;

/**
 * Half-lives of the estimated delay and failure rate of an endpoint, and the weight of a new sample in each average.
 */
export const BIAS_HALF_LIFE_MS = 2_000;
export const FAILURE_HALF_LIFE_MS = 5_000;
export const BIAS_WEIGHT = 0.3;
export const FAILURE_WEIGHT = 0.15;
/** Upper limit of the delay that is added to the estimate for an endpoint. */
export const BIAS_MAX_MS = 3_000;

/**
 * Endpoints whose entries disappeared during a store outage stay usable for this long after the store has recovered.
 */
export const STORE_RECOVERY_GRACE_MS = 2_200;

/** Retry delay sent with a refusal when no endpoint is available or the store can't confirm the configuration. */
export const RETRY_AFTER_MS = 300;
