/**
 * @module Constants of routing.
 */

/** One way between two failure domains of a region, and between regions, in milliseconds. */
export const SAME_DOMAIN_MS = 0.1;
export const SAME_REGION_MS = 1;
export const OTHER_REGION_MS = 30;
/** Cost of sending 1,000 tokens (about 4 kB there, 200 kB of events back) between regions, in millionths. */
export const REGION_VOLUME_MICROS = 4;

/** What a runner is taken to be before its first report. */
export const INITIAL_PREFILL_TOKENS_PER_MS = 5;
export const INITIAL_TOKEN_GAP_MS = 30;
export const INITIAL_SLOTS = 32;
export const INITIAL_DURATION_MS = 4_000;
export const INITIAL_SERVICE_DURATION_MS = 50;

/** Weight of a new duration, and of a new difference between estimate and fact, in the running means. */
export const DURATION_WEIGHT = 1 / 16;
export const BIAS_WEIGHT = 1 / 8;
/** The learned bias fades by this factor each tick, so that an avoided endpoint is tried again. */
export const BIAS_FADE = 0.98;
/** Bounds of the learned bias in milliseconds. */
export const BIAS_LIMIT_MS = 2_000;
/** Bias added when an endpoint refuses an attempt as full. */
export const REFUSED_BIAS_MS = 100;

/** Weight of a new report in the mean of what other nodes keep in progress at an endpoint. */
export const OTHERS_WEIGHT = 0.3;
/** How long other nodes' queued prefill, and their requests in progress, stay what the report showed. */
export const OTHERS_PREFILL_PERSISTENCE_MS = 500;
export const OTHERS_IN_FLIGHT_PERSISTENCE_MS = 4_000;

/** Growth of the slots at a report that is nearly full without waiting requests, before and after the first full one. */
export const SLOTS_FIRST_GROWTH = 2;
export const SLOTS_GROWTH = 1.002;
export const SLOTS_NEARLY_FULL_SHARE = 0.9;
/** How far a report with waiting requests moves the slots to its running ones, and how much it must run for that. */
export const SLOTS_FULL_WEIGHT = 0.5;
export const SLOTS_FULL_SHARE = 0.5;
export const SLOTS_LIMIT = 1_024;

/** Time between two refreshes of the estimates; also the step of the history of own counts. */
export const TICK_MS = 100;
/** Steps of history kept: reports older than this are compared with the oldest step. */
export const HISTORY_STEPS = 64;

/** Scores within this share of the best (and within this time) count as equal; one of them is drawn. */
export const NEAR_EQUAL_SHARE = 0.1;
export const NEAR_EQUAL_MS = 3;
/** Up to this many candidates all are looked at; of more, a random stretch of this share within these bounds. */
export const SAMPLE_MINIMUM = 32;
export const SAMPLE_SHARE = 0.5;
export const SAMPLE_LIMIT = 64;
/** Candidates outside the sample that are looked at because they hold the longest known prefix. */
export const HOLDERS_LIMIT = 8;

/** Share of the latency target that another region must save before it is used. */
export const REMOTE_PENALTY_SHARE = 0.3;
/** Share of the latency target that a price as high as the class's ceiling weighs. */
export const PRICE_PENALTY_SHARE = 0.1;
/** Each millisecond by which an estimate misses the target counts this many times. */
export const MISS_PENALTY = 10;
/** Share of the prefill time that the home of an unknown prefix is favoured by. */
export const HOME_BONUS_SHARE = 0.5;
/** The home is favoured only while its requests in progress are at most this multiple of the mean, plus one. */
export const HOME_LOAD_FACTOR = 1.25;

/** Holders of a prefix that are noted singly; of a prefix that more hold, only the sampled candidates are looked up. */
export const NOTED_HOLDERS_LIMIT = 48;
/** Prefixes remembered for each endpoint: at 64 endpoints of about 200 bytes each, some 13 MB. */
export const PREFIXES_PER_ENDPOINT = 1_024;
/** Share of an endpoint's remembered prefixes, oldest first, dropped after a gap in its cache events. */
export const GAP_DROP_SHARE = 0.5;

/** Share of first tokens that come no later than the estimate plus its error. */
export const ERROR_QUANTILE = 0.95;
/** Step of the error estimate for each first token, in milliseconds. */
export const ERROR_STEP_MS = 4;

/** Queue inside an endpoint, in milliseconds, up to which further requests are sent to it. */
export const ENDPOINT_QUEUE_MS = 300;
/** Requests that may wait inside an endpoint: with none, slots stand empty until the next request arrives. */
export const ENDPOINT_WAITING = 2;

/** Failures in a row, without a success between, after which an endpoint or a route of it is removed. */
export const FAILURES_UNTIL_REMOVAL = 3;
/** Share of failures among recent attempts that removes too, once there were enough attempts. */
export const FAILURE_SHARE_UNTIL_REMOVAL = 0.5;
export const ATTEMPTS_UNTIL_SHARE_COUNTS = 10;
/** Recent counts fade by this factor with each attempt: about the last 20 attempts count. */
export const OUTCOME_FADE = 0.95;
/** Share of a service's endpoints that may be removed at once; beyond it the fault lies elsewhere. */
export const REMOVABLE_SHARE = 0.5;
/** First and longest time before a removed endpoint is probed. */
export const FIRST_REMOVAL_MS = 1_000;
export const LONGEST_REMOVAL_MS = 30_000;
/** Routes told apart at one endpoint; callers choose paths, so their number must be bounded. */
export const ROUTES_PER_ENDPOINT = 32;

/** Endpoints of a service that one node uses; smaller services are used whole. */
export const SUBSET_LIMIT = 48;
/** Share of the subset inside the node's own region. */
export const SUBSET_OWN_REGION_SHARE = 0.67;
/** Fewest endpoints of one failure domain and version in the subset, where there are as many. */
export const SUBSET_STRATUM_MINIMUM = 2;

/** Bytes that one load digest may have. */
export const DIGEST_BYTES_LIMIT = 96;
/** Bytes a second that all other nodes' digests may take on one node; sets the time between digests. */
export const DIGEST_BYTES_PER_SECOND = 1_250;
/** Bytes around a digest on the wire: node id, topic, key and framing. */
export const DIGEST_OVERHEAD_BYTES = 24;
/** Shortest time between two digests of a node. */
export const SHORTEST_DIGEST_MS = 500;
/** Digests older than this many periods don't count. */
export const DIGEST_PERIODS_VALID = 4;
/** Ratio between neighbouring steps of a quantised number. */
export const QUANTISATION_RATIO = 1.06;
/** Half-life of the measured demand, in milliseconds. */
export const DEMAND_HALF_LIFE_MS = 2_000;
/** A node takes at least this part of an even share, so that a first request needn't wait for the digests. */
export const LEAST_DEMAND_SHARE = 0.25;
/** Attempts without a final report for this long are no longer counted; longer than any deadline of a stream. */
export const ATTEMPT_MEMORY_MS = 1_800_000;
/**
 * How long one rounding of a fraction of a slot holds. Shorter than the time between reports, every node would take the
 * same free slot sooner or later.
 */
export const SLOT_ROUNDING_MS = 1_000;
/** Ticks between two searches for attempts whose final report never came. */
export const ATTEMPT_CHECK_TICKS = 600;
/** The error estimate fades by this factor each tick: without answers it would otherwise refuse work for ever. */
export const ERROR_FADE = 0.999;
/** Share of the KV cache that running requests may use; slots are bounded by it once enough requests run. */
export const CACHE_USE_LIMIT = 0.95;
export const CACHE_EVIDENCE_REQUESTS = 4;
/** Wire size of a load report with its request, and of one cache event. */
export const LOAD_REPORT_BYTES = 350;
export const CACHE_EVENT_BYTES = 60;
/** Bytes a second that a node of a large cluster spends on load reports and on cache events. */
export const LOAD_REPORT_BYTES_PER_SECOND = 2_000;
export const CACHE_EVENT_BYTES_PER_SECOND = 500;
/** In smaller clusters each node spends more, since all nodes together spend no more than these many would. */
export const FULL_SIZE_NODES = 400;
export const LARGEST_BUDGET_FACTOR = 8;
/** Bounds of the time between two load reports of an endpoint. */
export const SHORTEST_REPORT_PERIOD_MS = 500;
export const LONGEST_REPORT_PERIOD_MS = 10_000;
/** Bounds of the time between two reads of an endpoint's cache events. */
export const SHORTEST_CACHE_PERIOD_MS = 1_000;
export const LONGEST_CACHE_PERIOD_MS = 60_000;
