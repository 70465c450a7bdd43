/**
 * @module New retry budgets.
 */
import { RETRY_STARTING_ALLOWANCE } from "./constants";
import type { RetryBudget } from "./retryBudget";

/**
 * Creates the budget of a class at a service that has seen no request yet.
 *
 * @returns A budget with a small starting allowance
 * @example
 * let budget = createRetryBudget();
 */
export function createRetryBudget(): RetryBudget {
    return { available: RETRY_STARTING_ALLOWANCE, firstAttempts: 0, extraAttempts: 0 };
}
