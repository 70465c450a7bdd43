/**
 * @module The waiting and admitted requests of one service on one node.
 *
 * Start-time fair queueing: each account has a finish tag, the pool a virtual time. The next request comes from the
 * waiting account with the lowest start tag `max(virtualTime, finishTag)`; its cost in tokens moves the finish tag
 * on. An account that was idle starts at the virtual time, so it neither saves up unused share nor pays for share that
 * was lent to it.
 */
import type { Heap } from "heap-js";

/** A request that waits for admission. */
export interface WaitingRequest {
    readonly requestId: string;
    readonly accountName: string;
    readonly className: string;
    /** Expected cost in tokens. */
    readonly costTokens: number;
    /** Prompt and maximum output in tokens. */
    readonly sizeTokens: number;
    /** Expected output in tokens. */
    readonly outputTokens: number;
    /** Latest monotonic milliseconds at which a start still meets the latency target. */
    readonly latestStartAtMs: number;
    /** Highest price that the class allows, in millionths of the currency per 1,000 tokens. */
    readonly costCeilingMicros: number;
    /** Latency target of the class in milliseconds. */
    readonly latencyTargetMs: number;
}

/** A request in the heap of its account. Cancelled ones stay until they reach the top. */
export interface QueuedRequest {
    readonly request: WaitingRequest;
    isCancelled: boolean;
}

/** One account in a pool. */
export interface PoolAccount {
    readonly name: string;
    /** Where the account's next request starts in virtual time, in tokens. */
    finishTag: number;
    /** Number of its newest entry in the pool's order; older entries are void. */
    orderNumber: number;
    /** Least slack first. */
    readonly waiting: Heap<QueuedRequest>;
    waitingCount: number;
    waitingTokens: number;
    /** Tokens waiting by latency target in milliseconds. */
    readonly waitingTokensByTarget: Map<number, number>;
    admittedCount: number;
    /** Tokens charged since the account was last forgotten. */
    chargedTokens: number;
}

/** An account's place in the order of dispatch. */
export interface OrderEntry {
    readonly account: PoolAccount;
    readonly startTag: number;
    readonly orderNumber: number;
}

/** An admitted request that has not finished. */
export interface AdmittedRequest {
    readonly accountName: string;
    readonly className: string;
    readonly costTokens: number;
    readonly sizeTokens: number;
    readonly admittedAtMs: number;
}

/** The check of the fair floor: one waiting account at a time is compared with all others. */
export interface FloorWatch {
    readonly account: PoolAccount;
    /** Tokens charged to each account when the watch began. */
    readonly chargedBefore: ReadonlyMap<string, number>;
    /** Largest cost admitted since then. */
    largestCostTokens: number;
    /** Sum of the corrections made since then, without sign. */
    correctedTokens: number;
    dispatches: number;
}

/**
 * The pool. Changed in place by the functions of this folder: a burst of thousands of requests is handled in
 * O(log n) each. Owned by one task.
 */
export interface AdmissionPool {
    virtualTime: number;
    readonly accounts: Map<string, PoolAccount>;
    /** Waiting accounts, lowest start tag first. */
    readonly order: Heap<OrderEntry>;
    readonly queued: Map<string, QueuedRequest>;
    readonly admitted: Map<string, AdmittedRequest>;
    waitingTokens: number;
    /** Running mean of how long an admitted request takes; undefined before the first finished. */
    meanDurationMs: number | undefined;
    meanCostTokens: number | undefined;
    /** Share of prompt and maximum output used, by class. */
    readonly useShares: Map<string, number>;
    floorWatch: FloorWatch | undefined;
}
