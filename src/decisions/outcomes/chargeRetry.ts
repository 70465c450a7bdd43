/**
 * @module Charges an extra attempt to the retry budget.
 */
import type { RetryBudget } from "./retryBudget";

/**
 * Charges an extra attempt to the budget.
 *
 * @param budget - The budget of the request's class and service
 * @param charge - 1 for a full attempt; for a resumption, the fraction of the work that is computed again
 * @param options - `reserve`: the least that must remain in the budget (default 0)
 * @returns The updated budget, or `undefined` if it does not cover the attempt
 * @example
 * const after = chargeRetry(budget, 1);
 */
export function chargeRetry(
    budget: RetryBudget,
    charge: number,
    options: { readonly reserve?: number } = {},
): RetryBudget | undefined {
    if (budget.available - charge < (options.reserve ?? 0)) {
        return undefined;
    }
    return { ...budget, available: budget.available - charge, extraAttempts: budget.extraAttempts + charge };
}
