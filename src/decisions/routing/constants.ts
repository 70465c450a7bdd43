/**
 * @module Constants of routing.
 */

/** One-way network latency within a failure domain, between failure domains of a region, and between regions. */
export const SAME_DOMAIN_LATENCY_MS = 0.1;
export const SAME_REGION_LATENCY_MS = 1;
export const OTHER_REGION_LATENCY_MS = 30;
/**
 * Cost of traffic between regions for 1,000 tokens (about 4 kB of request and 200 kB of response events), in millionths
 * of the currency.
 */
export const CROSS_REGION_TRANSFER_MICROS = 4;

/** Estimates for an endpoint before its first load report and its first finished attempt. */
export const INITIAL_PREFILL_TOKENS_PER_MS = 5;
export const INITIAL_TOKEN_GAP_MS = 30;
export const INITIAL_SLOTS = 32;
export const INITIAL_DURATION_MS = 4_000;
export const INITIAL_APPLICATION_DURATION_MS = 50;

/** Weights of a new duration and of a new estimation error in their moving averages. */
export const DURATION_WEIGHT = 1 / 16;
export const BIAS_WEIGHT = 1 / 8;
/** Decay of the bias per tick, as a factor, so that an endpoint avoided for its bias is tried again. */
export const BIAS_DECAY = 0.98;
/** Upper limit of the bias and of the estimate error. */
export const BIAS_LIMIT_MS = 2_000;
/** Bias added when an endpoint refuses an attempt as full. */
export const REFUSED_BIAS_MS = 100;

/** Weight of a new report in the moving averages of the load that other nodes put on an endpoint. */
export const OTHERS_MEAN_WEIGHT = 0.3;
/**
 * Time constants with which the estimates of other nodes' queued prefill, and of their requests in progress, return
 * from the reported value to the mean.
 */
export const OTHERS_PREFILL_DECAY_MS = 500;
export const OTHERS_IN_FLIGHT_DECAY_MS = 4_000;

/**
 * Growth of the slot estimate when a report shows nearly all slots in use and no waiting requests: before and after the
 * first report of an endpoint at capacity.
 */
export const SLOTS_INITIAL_GROWTH_FACTOR = 2;
export const SLOTS_GROWTH_FACTOR = 1.002;
export const SLOTS_NEARLY_FULL_SHARE = 0.9;
/**
 * A report with waiting requests moves the slot estimate by this weight towards its running requests, if these take at
 * least this share of the slots.
 */
export const SLOTS_FULL_WEIGHT = 0.5;
export const SLOTS_FULL_SHARE = 0.5;
export const SLOTS_LIMIT = 1_024;

/** Time between two refreshes of the estimates, and between two entries of the histories. */
export const TICK_MS = 100;
/** Entries of a history; a report older than all of them is compared with the oldest entry. */
export const HISTORY_STEPS = 64;

/** Scores that exceed the best by at most this share, or this time, count as equal; one of them is drawn at random. */
export const NEAR_EQUAL_SHARE = 0.1;
export const NEAR_EQUAL_MS = 3;
/**
 * Size of the random sample of candidates that a choice scores: this share, but at least the minimum and at most the
 * limit.
 */
export const SAMPLE_MINIMUM = 32;
export const SAMPLE_SHARE = 0.5;
export const SAMPLE_LIMIT = 64;
/**
 * Most candidates that are scored in addition to the sample because they hold the longest known prefix of the prompt.
 */
export const EXTRA_HOLDERS_LIMIT = 8;

/**
 * Penalty of an endpoint in another region, as a share of the latency target: the time it must save to be preferred.
 */
export const REMOTE_PENALTY_SHARE = 0.3;
/** Penalty of an endpoint whose cost equals the cost ceiling of the class, as a share of the latency target. */
export const PRICE_PENALTY_SHARE = 0.1;
/** Factor for the milliseconds by which an estimate misses the target. */
export const MISSED_TARGET_PENALTY_FACTOR = 10;
/** Bonus of the preferred endpoint of a prefix that no endpoint holds, as a share of the prefill time. */
export const AFFINITY_BONUS_SHARE = 0.5;
/** The bonus applies only while the endpoint's requests in progress are at most this multiple of the mean, plus one. */
export const AFFINITY_LOAD_FACTOR = 1.25;

/**
 * Largest number of holders of a prefix that are marked one by one. If more endpoints hold a prefix, only the sampled
 * candidates are looked up.
 */
export const MARKED_HOLDERS_LIMIT = 48;
/** Prefixes kept for each endpoint. At about 200 bytes each, 64 endpoints take about 13 MB. */
export const PREFIXES_PER_ENDPOINT = 1_024;
/** Share of an endpoint's prefixes, oldest first, that is dropped after a gap in its cache events. */
export const GAP_DROP_SHARE = 0.5;

/** Quantile of the lateness of first tokens that the estimate error tracks. */
export const ERROR_QUANTILE = 0.95;
/** Step size of the quantile tracking for each first token. */
export const ERROR_STEP_MS = 4;

/** Queueing delay inside an endpoint above which it offers no free slots. */
export const ENDPOINT_QUEUE_LIMIT_MS = 300;
/**
 * Requests that may wait inside an endpoint. Without any, a freed slot would stay idle until the next request arrives.
 */
export const ENDPOINT_WAITING_LIMIT = 2;

/** Consecutive failures after which an endpoint, or one route of it, is removed. */
export const CONSECUTIVE_FAILURES_UNTIL_REMOVAL = 3;
/**
 * Failure rate of recent attempts above which an endpoint or route is removed too, and the attempts needed for that.
 */
export const FAILURE_RATE_UNTIL_REMOVAL = 0.5;
export const FAILURE_RATE_MINIMUM_ATTEMPTS = 10;
/** Decay of the recent counts per attempt, as a factor: about the last 20 attempts count. */
export const OUTCOME_DECAY = 0.95;
/**
 * Share of a service's endpoints that may be removed at once. If more fail, the endpoints are unlikely to be the cause.
 */
export const REMOVABLE_SHARE = 0.5;
/** First and longest time before a removed endpoint is probed; it doubles with each further removal. */
export const FIRST_REMOVAL_MS = 1_000;
export const LONGEST_REMOVAL_MS = 30_000;
/**
 * Most outcome records by route at one endpoint, including the shared one. Callers choose the paths, so the number must
 * be bounded.
 */
export const ROUTES_PER_ENDPOINT = 32;

/** Endpoints of a service that one node uses; a smaller service is used completely. */
export const SUBSET_LIMIT = 48;
/** Share of the subset that lies in the node's own region. */
export const SUBSET_OWN_REGION_SHARE = 0.67;
/** Minimum number of endpoints per failure domain and version in the subset, where that many exist. */
export const SUBSET_STRATUM_MINIMUM = 2;

/** Largest encoded size of a load digest. */
export const DIGEST_BYTES_LIMIT = 96;
/** Bytes a second that a node may receive in digests of all other nodes; determines the time between digests. */
export const DIGEST_BYTES_PER_SECOND = 1_250;
/** Bytes that a digest takes on the wire besides its payload: node id, topic, key and framing. */
export const DIGEST_OVERHEAD_BYTES = 24;
/** Shortest time between two digests of a node. */
export const SHORTEST_DIGEST_PERIOD_MS = 500;
/** Digest periods after which a digest expires. */
export const DIGEST_PERIODS_VALID = 4;
/** Ratio between adjacent steps of the logarithmic quantisation of numbers in digests. */
export const QUANTISATION_RATIO = 1.06;
/** Half-life of the exponential average of the demand. */
export const DEMAND_HALF_LIFE_MS = 2_000;
/**
 * Minimum demand share, as a part of an even share, so that a first request needn't wait for an exchange of digests.
 */
export const MINIMUM_DEMAND_SHARE = 0.25;
/** Time after which an attempt without a final report is no longer counted; longer than any deadline of a stream. */
export const LOST_ATTEMPT_TIMEOUT_MS = 1_800_000;
/**
 * How long a node keeps the offset that rounds a fraction of a free slot up or down. If it were shorter than the time
 * between load reports, every node would take the same free slot sooner or later.
 */
export const SLOT_ROUNDING_MS = 1_000;
/** Ticks between two searches for attempts whose final report was lost. */
export const LOST_ATTEMPT_CHECK_TICKS = 600;
/**
 * Decay of the estimate error per tick, as a factor. Without it a large error would make admission refuse all requests,
 * and without responses the error would never be corrected.
 */
export const ERROR_DECAY = 0.999;
/**
 * Share of the KV cache that running requests may use, and the running requests needed to derive a slot limit from it.
 */
export const CACHE_USE_LIMIT = 0.95;
export const CACHE_USE_MINIMUM_REQUESTS = 4;
/** Wire size of a load report with its request, and of one cache event. */
export const LOAD_REPORT_BYTES = 350;
export const CACHE_EVENT_BYTES = 60;
/** Bytes a second that a node may spend on load reports and on cache events in a cluster of `REFERENCE_NODE_COUNT`. */
export const LOAD_REPORT_BYTES_PER_SECOND = 2_000;
export const CACHE_EVENT_BYTES_PER_SECOND = 500;
/**
 * Cluster size for which the byte budgets are stated. In a smaller cluster each node may spend up to
 * `LARGEST_BUDGET_FACTOR` times as much, as long as all nodes together spend no more than this many nodes would.
 */
export const REFERENCE_NODE_COUNT = 400;
export const LARGEST_BUDGET_FACTOR = 8;
/** Bounds of the time between two reads of an endpoint's load report. */
export const SHORTEST_REPORT_PERIOD_MS = 500;
export const LONGEST_REPORT_PERIOD_MS = 10_000;
/** Bounds of the time between two reads of an endpoint's cache events. */
export const SHORTEST_CACHE_PERIOD_MS = 1_000;
export const LONGEST_CACHE_PERIOD_MS = 60_000;
