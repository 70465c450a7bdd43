/**
 * @module Retry budget of one service at one node. Together, the budgets of all nodes stay within a system-wide limit.
 */
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./slidingWindowCounter";

/** The limit on the retries of all nodes together. */
export interface RetryBudgetPolicy {
    /** Retries allowed as a share of the requests in a window. */
    readonly ratio: number;
    /** Retries allowed in a window in addition to that share. */
    readonly slack: number;
    readonly windowMs: number;
}

/** Share of the limit that is used. The rest covers retries sent in one window that arrive in the next. */
const USABLE_SHARE = 0.9;

/** The retry budget of one service at one node. */
export interface ServiceRetryBudget {
    /** Counts a request of a caller, which raises the budget. */
    recordRequest(nowMs: number): void;
    /** Charges one retry if the budget allows it; returns false, and charges nothing, if not. */
    chargeRetry(nodeCount: number, nowMs: number): boolean;
}

/**
 * Creates a retry budget. A node may retry a share of its own requests, plus an equal part of the slack, so the sum
 * over all nodes stays within the limit without any messages between them.
 *
 * @param policy - The limit on the retries of all nodes together
 * @returns The retry budget
 * @example
 * if (retryBudget.chargeRetry(nodeCount, nowMs)) { ... }
 */
export function createServiceRetryBudget(policy: RetryBudgetPolicy): ServiceRetryBudget {
    const requests: SlidingWindowCounter = createSlidingWindowCounter(policy.windowMs);
    const retries: SlidingWindowCounter = createSlidingWindowCounter(policy.windowMs);
    return {
        recordRequest: nowMs => requests.add(1, nowMs),
        chargeRetry: (nodeCount, nowMs) => {
            const limit = USABLE_SHARE * (policy.ratio * requests.sum(nowMs) + policy.slack / Math.max(1, nodeCount));
            if (retries.sum(nowMs) + 1 > limit) {
                return false;
            }
            retries.add(1, nowMs);
            return true;
        },
    };
}
