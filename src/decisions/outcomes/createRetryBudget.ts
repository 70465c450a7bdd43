/**
 * @module Creates retry budgets.
 */
import { INITIAL_RETRY_BUDGET } from "./constants";
import type { RetryBudget } from "./retryBudget";

/**
 * Creates the budget of a request class at a service that has had no request yet.
 *
 * @returns A budget with a few extra attempts
 * @example
 * let budget = createRetryBudget();
 */
export function createRetryBudget(): RetryBudget {
    return { available: INITIAL_RETRY_BUDGET, firstAttempts: 0, extraAttempts: 0 };
}
