/**
 * @module Credits the retry budget for the first attempt of a request.
 */
import { RETRY_RATIO, MAXIMUM_RETRY_BUDGET } from "./constants";
import type { RetryBudget } from "./retryBudget";

/**
 * Counts the first attempt of a request and adds the fraction of an extra attempt that it earns.
 *
 * @param budget - The budget of the request's class and service
 * @returns The updated budget
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
