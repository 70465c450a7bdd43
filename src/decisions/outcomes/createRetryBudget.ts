/**
 * @module New retry budgets.
 */
import { INITIAL_RETRY_BUDGET } from "./constants";
import type { RetryBudget } from "./retryBudget";

/**
 * Creates the budget of a class at a service that has seen no request yet.
 *
 * @returns A budget with a small starting allowance
 * @example
 * let budget = createRetryBudget();
 */
export function createRetryBudget(): RetryBudget {
    return { available: INITIAL_RETRY_BUDGET, firstAttempts: 0, extraAttempts: 0 };
}
