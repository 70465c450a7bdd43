/**
 * @module The waiting and admitted requests of one service on one node.
 *
 * Requests are ordered by start-time fair queueing: each account has a finish tag and the pool has a virtual time. The
 * next request comes from the waiting account with the lowest start tag `max(virtualTime, finishTag)`, and its cost in
 * tokens advances the account's finish tag. An account that was idle starts at the virtual time, so it neither
 * accumulates unused share nor pays for capacity that others left unused.
 */
import type { Heap } from "heap-js";

/** A request that waits for admission. */
export interface WaitingRequest {
    readonly requestId: string;
    readonly accountName: string;
    readonly className: string;
    /** Expected cost in tokens. */
    readonly costTokens: number;
    /** Prompt tokens plus maximum output tokens. */
    readonly sizeTokens: number;
    /** Expected output in tokens. */
    readonly outputTokens: number;
    /** Latest start that still meets the latency target, in monotonic milliseconds. */
    readonly latestStartAtMs: number;
    /**
     * Highest cost that the class allows, in millionths of the currency per 1,000 tokens (per call for application
     * runners).
     */
    readonly costCeilingMicros: number;
    /** Latency target of the class in milliseconds. */
    readonly latencyTargetMs: number;
}

/** A request in the heap of its account. A cancelled request stays in the heap until it reaches the top. */
export interface QueuedRequest {
    readonly request: WaitingRequest;
    isCancelled: boolean;
}

/** One account in a pool. */
export interface PoolAccount {
    readonly name: string;
    /** Finish tag of the account's latest admitted request in virtual time, in tokens. */
    finishTag: number;
    /** Version of its latest entry in the pool's order; entries with a lower version are stale. */
    orderVersion: number;
    /** Waiting requests, least slack first. */
    readonly waiting: Heap<QueuedRequest>;
    waitingCount: number;
    /** Expected cost in tokens of the waiting requests. */
    waitingTokens: number;
    /** Expected cost in tokens of the waiting requests, by latency target in milliseconds. */
    readonly waitingTokensByTarget: Map<number, number>;
    admittedCount: number;
    /** Tokens charged since the account was last added to the pool. */
    chargedTokens: number;
}

/** An entry of an account in the order of dispatch. */
export interface OrderEntry {
    readonly account: PoolAccount;
    readonly startTag: number;
    readonly orderVersion: number;
}

/** An admitted request that has not finished. */
export interface AdmittedRequest {
    readonly accountName: string;
    readonly className: string;
    readonly costTokens: number;
    readonly sizeTokens: number;
    readonly admittedAtMs: number;
}

/** The state of the fair share check, which compares one waiting account at a time with all others. */
export interface FairShareCheck {
    /** The waiting account whose share is checked. */
    readonly account: PoolAccount;
    /** Tokens charged to each account when the check began. */
    readonly chargedBefore: ReadonlyMap<string, number>;
    /** Largest cost of a request admitted since then. */
    largestCostTokens: number;
    /** Sum of the absolute corrections made since then. */
    correctedTokens: number;
    /** Requests dispatched since then. */
    dispatches: number;
}

/**
 * The pool. The functions of this folder change it in place, so that a burst of thousands of requests takes only
 * O(log n) for each. Owned by one task.
 */
export interface AdmissionPool {
    virtualTime: number;
    readonly accounts: Map<string, PoolAccount>;
    /** Entries of waiting accounts, lowest start tag first; may contain stale entries. */
    readonly order: Heap<OrderEntry>;
    /** Waiting requests by id. */
    readonly queued: Map<string, QueuedRequest>;
    /** Admitted requests by id. */
    readonly admitted: Map<string, AdmittedRequest>;
    /** Expected cost in tokens of all waiting requests. */
    waitingTokens: number;
    /** Moving average of the duration of admitted requests; `undefined` before the first has finished. */
    meanDurationMs: number | undefined;
    /** Moving average of the tokens used by a request; `undefined` before the first has finished. */
    meanCostTokens: number | undefined;
    /** Moving average of the used share of prompt plus maximum output tokens, by class. */
    readonly useShares: Map<string, number>;
    /** The fair share check in progress. */
    fairShareCheck: FairShareCheck | undefined;
}
