/**
 * @module How many extra sends this node may cause at a service, so that all nodes together keep the bound.
 */
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./slidingWindowCounter";

/** The bound over all nodes. */
export interface RetryBudgetPolicy {
    /** Extra sends allowed as a share of the requests in a window. */
    readonly ratio: number;
    /** Extra sends allowed besides, of all nodes together. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Kept below the bound for sends that cross the edge of a window on their way. */
const USED_SHARE = 0.9;

/** The allowance of one service at one node. */
export interface ServiceRetryBudget {
    recordRequest(nowMs: number): void;
    /** Takes one extra send if the node's share has room for it. */
    chargeRetry(nodeCount: number, nowMs: number): boolean;
}

/**
 * Creates an allowance. A node earns by its own requests, and has an equal part of the constant: so the sum over nodes
 * keeps the bound without a word between them.
 *
 * @param terms - The bound
 * @returns The allowance
 * @example
 * if (allowance.chargeSend(nodes, nowMs)) { ... }
 */
export function createServiceRetryBudget(terms: RetryBudgetPolicy): ServiceRetryBudget {
    const requests: SlidingWindowCounter = createSlidingWindowCounter(terms.windowMs);
    const extra: SlidingWindowCounter = createSlidingWindowCounter(terms.windowMs);
    return {
        recordRequest: nowMs => requests.add(1, nowMs),
        chargeRetry: (nodeCount, nowMs) => {
            const limit = USED_SHARE * (terms.ratio * requests.sum(nowMs) + terms.slack / Math.max(1, nodeCount));
            if (extra.sum(nowMs) + 1 > limit) {
                return false;
            }
            extra.add(1, nowMs);
            return true;
        },
    };
}
