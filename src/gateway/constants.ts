/**
 * @module Constants of the gateway.
 */

/** Longest wait for a new connection to an endpoint: several round trips between regions. */
export const CONNECT_TIMEOUT_MS = 350;
/** Idle connections to endpoints are closed this long before the endpoint would close them. */
export const IDLE_CLOSE_MARGIN_MS = 1_000;
/** Idle time after which a connection is closed where the endpoint states none. */
export const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
/** Idle time after which a request that may not be repeated takes a new connection. */
export const NON_REPEATABLE_IDLE_MAX_MS = 2_500;

/** Time added to one way between failure domains of a region and between regions, there and back. */
export const SAME_REGION_RTT_MS = 2;
export const OTHER_REGION_RTT_MS = 60;

/** How long a prompt's parts are believed to be cached at the endpoint that read them last. */
export const CACHED_PART_TTL_MS = 30_000;
/** Prompt parts remembered for each endpoint. */
export const CACHED_PARTS_MAX = 4_000;

/** An endpoint that can't be connected to gets nothing for this long, twice as long each time. */
export const SUSPECT_INITIAL_MS = 500;
export const SUSPECT_MAX_MS = 4_000;

/** Half-lives of what is learnt about an endpoint. */
export const BIAS_HALF_LIFE_MS = 2_000;
export const FAILURE_HALF_LIFE_MS = 5_000;
export const BIAS_WEIGHT = 0.3;
export const FAILURE_WEIGHT = 0.15;
export const BIAS_MAX_MS = 3_000;

/** Entries that vanish while the store was away stay usable for this long after its return. */
export const STORE_RECOVERY_GRACE_MS = 2_200;

/** Requests refused for want of endpoints are told to come back after this time. */
export const RETRY_AFTER_MS = 300;
/** Requests beyond their quota are told to come back after this time. */
export const QUOTA_RETRY_AFTER_MS = 1_000;
