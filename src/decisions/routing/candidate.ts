/**
 * @module What one node knows of an endpoint it may choose.
 */
import type { Endpoint } from "../../model/endpoint";

/** Recent outcomes of attempts, overall or on one route. */
export interface OutcomeRecord {
    /** Failures since the last success. */
    failuresInRow: number;
    /** When the first of these failed, in monotonic milliseconds. */
    failingSinceMs: number;
    /** Fading counts. */
    recentFailures: number;
    recentSuccesses: number;
    /** Monotonic milliseconds; `-Infinity` before the first success. */
    lastSuccessAtMs: number;
    /** Until then nothing is sent; `-Infinity` if not removed. */
    removedUntilMs: number;
    /** Whether the time of removal is over and the next attempt decides. */
    isOnTrial: boolean;
    /** Whether that attempt is in progress. */
    isTrialRunning: boolean;
    /** Length of the last removal in milliseconds; 0 before the first. */
    removalMs: number;
}

/** Counts at earlier times, one entry a tick. */
export interface CountHistory {
    readonly inFlight: Float64Array;
    readonly prefillTokens: Float64Array;
}

/**
 * An endpoint as one node sees it. Changed in place by the functions of this folder, since a choice over 640 candidates
 * has 50 microseconds; owned by one task.
 */
export interface Candidate {
    endpoint: Endpoint;
    /** Incarnation of the VM's process. */
    readonly incarnation: number;
    /** Hash of the endpoint's id, for rendezvous hashing. */
    readonly hash: number;
    /** There and back, in milliseconds. */
    readonly networkMs: number;
    readonly isRemote: boolean;
    isLeaving: boolean;

    /** Attempts of this node in progress, and their prompt tokens that await a first token. */
    ownInFlight: number;
    ownPrefillTokens: number;
    readonly history: CountHistory;

    /** When the endpoint sampled its newest report, in monotonic milliseconds; `undefined` before the first. */
    sampledAtMs: number | undefined;
    /** Other nodes' requests and queued prefill tokens at that sample, and their means over the samples. */
    sampledOthersInFlight: number;
    /** This node's requests in progress at that sample. */
    sampledOwnInFlight: number;
    sampledOthersPrefillTokens: number;
    meanOthersInFlight: number;
    meanOthersPrefillTokens: number;
    /** The same as estimated for now. */
    othersInFlight: number;
    othersPrefillTokens: number;

    /** Requests that the endpoint executes at once. */
    slots: number;
    /** Whether a report has shown it full; its slots are well known then. */
    hasBeenFull: boolean;
    prefillTokensPerMs: number;
    tokenGapMs: number;
    /** Mean time of a whole answer, in milliseconds. */
    durationMs: number;
    /** Learned difference between fact and estimate, in milliseconds. */
    biasMs: number;
    /** Price of the VM in millionths an hour; 0 if unknown. */
    microsPerHour: number;
    /** Cost per 1,000 tokens, or per call of an application runner, volume between regions included. */
    costMicros: number;

    readonly outcomes: OutcomeRecord;
    /** Outcomes by route; the rarer routes of an endpoint with many share one record. */
    readonly routes: Map<string, OutcomeRecord>;
    /** Number of routes that are removed now. */
    removedRoutes: number;

    /** Number of the query for which `cachedBlocks` holds. */
    cachedQuery: number;
    /** Blocks of the query's prompt believed to be in the endpoint's cache. */
    cachedBlocks: number;
    /** Sequence number of the newest cache event; -1 before the first. */
    cacheSequence: number;
}
