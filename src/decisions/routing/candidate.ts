/**
 * @module A node's view of an endpoint that it may choose.
 */
import type { Endpoint } from "../../model/endpoint";

/** Recent outcomes of attempts at an endpoint, overall or on one route. */
export interface OutcomeRecord {
    /** Failures since the last success. */
    consecutiveFailures: number;
    /** Time of the first of these failures, in monotonic milliseconds. */
    failingSinceMs: number;
    /** Exponentially decaying counts; see `OUTCOME_DECAY`. */
    recentFailures: number;
    recentSuccesses: number;
    /** Monotonic milliseconds; `-Infinity` before the first success. */
    lastSuccessAtMs: number;
    /** Monotonic milliseconds until which nothing is sent; `-Infinity` if not removed. */
    removedUntilMs: number;
    /**
     * Whether the removal time is over and the outcome of one trial attempt decides whether the removal ends: the
     * half-open state of a circuit breaker.
     */
    isOnTrial: boolean;
    /** Whether the trial attempt is in progress. */
    isTrialRunning: boolean;
    /** Duration of the last removal in milliseconds; 0 before the first. */
    removalMs: number;
}

/** Own counts at earlier ticks: ring buffers with one entry per tick. */
export interface CountHistory {
    readonly inFlight: Float64Array;
    readonly prefillTokens: Float64Array;
}

/**
 * An endpoint as one node sees it. The functions of this folder change it in place, because a choice among 640
 * candidates must take no more than 50 microseconds. Owned by one task.
 */
export interface Candidate {
    endpoint: Endpoint;
    /** Incarnation of the VM's process. */
    readonly incarnation: number;
    /** Hash of the endpoint's id, for rendezvous hashing. */
    readonly hash: number;
    /** Network round-trip time, in milliseconds. */
    readonly networkMs: number;
    /** Whether the endpoint is in another region than this node. */
    readonly isRemote: boolean;
    isLeaving: boolean;

    /** Attempts of this node in progress, and the uncached prompt tokens of those that await their first token. */
    ownInFlight: number;
    ownPrefillTokens: number;
    readonly history: CountHistory;

    /** When the endpoint sampled its latest load report, in monotonic milliseconds; `undefined` before the first. */
    sampledAtMs: number | undefined;
    /** Requests of other nodes in progress at that sample. */
    sampledOthersInFlight: number;
    /** Requests of this node in progress at that sample. */
    sampledOwnInFlight: number;
    /** Queued prefill tokens of other nodes at that sample. */
    sampledOthersPrefillTokens: number;
    /** Moving averages over the samples. */
    meanOthersInFlight: number;
    meanOthersPrefillTokens: number;
    /** Estimates of the same quantities for the current time. */
    othersInFlight: number;
    othersPrefillTokens: number;

    /** Estimated number of requests that the endpoint executes concurrently. */
    slots: number;
    /** Whether a report has shown the endpoint at capacity, so that `slots` is a reliable estimate. */
    hasBeenFull: boolean;
    prefillTokensPerMs: number;
    tokenGapMs: number;
    /** Mean duration of a complete response, in milliseconds. */
    durationMs: number;
    /** Learned correction that is added to the estimated time to the first token, in milliseconds. */
    biasMs: number;
    /** Price of the VM per hour, in millionths of the currency; 0 if unknown. */
    microsPerHour: number;
    /**
     * Cost per 1,000 tokens including traffic between regions, or per call of an application runner, in millionths of
     * the currency.
     */
    costMicros: number;

    readonly outcomes: OutcomeRecord;
    /** Outcomes by route; routes beyond `ROUTES_PER_ENDPOINT` share one record. */
    readonly routes: Map<string, OutcomeRecord>;
    /** Number of routes that are currently removed. */
    removedRoutes: number;

    /** Number of the prefix index query for which `cachedBlocks` is valid. */
    cachedBlocksQuery: number;
    /** Blocks of that query's prompt believed to be in the endpoint's cache. */
    cachedBlocks: number;
    /** Sequence number of the latest cache event; -1 before the first. */
    cacheSequence: number;
}
