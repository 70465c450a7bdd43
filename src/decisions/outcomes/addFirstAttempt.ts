/**
 * @module What a request earns for the retry budget.
 */
import { RETRY_RATIO, MAXIMUM_RETRY_BUDGET } from "./constants";
import type { RetryBudget } from "./retryBudget";

/**
 * Counts the first attempt of a request, which allows a fixed share of an extra one.
 *
 * @param budget - The budget of the request's class and service
 * @returns The budget afterwards
 * @example
 * budget = addFirstAttempt(budget);
 */
export function addFirstAttempt(budget: RetryBudget): RetryBudget {
    return {
        ...budget,
        available: Math.min(MAXIMUM_RETRY_BUDGET, budget.available + RETRY_RATIO),
        firstAttempts: budget.firstAttempts + 1,
    };
}
