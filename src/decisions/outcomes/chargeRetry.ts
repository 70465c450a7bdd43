/**
 * @module Taking an extra attempt from the retry budget.
 */
import type { RetryBudget } from "./retryBudget";

/**
 * Takes an extra attempt from the budget.
 *
 * @param budget - The budget of the request's class and service
 * @param charge - 1 for a whole attempt; the recomputed share of the work for a resumption
 * @param options - `reserve`: what has to be left afterwards (default 0)
 * @returns The budget afterwards, or `undefined` if it does not allow the attempt
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
