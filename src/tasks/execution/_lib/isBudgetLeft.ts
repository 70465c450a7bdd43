/**
 * @module Asking a retry budget without taking from it.
 */
import { chargeRetry } from "../../../decisions/outcomes/chargeRetry";
import { createRetryBudget } from "../../../decisions/outcomes/createRetryBudget";
import type { ExecutionShared } from "./executionShared";

/**
 * Tells whether a budget allows an extra attempt now, without taking it.
 *
 * @param shared - The node's budgets
 * @param className - Class of the request
 * @param serviceName - Destination of the request
 * @param charge - 1 for a whole attempt
 * @param reserve - What has to be left for others
 * @returns Whether it could be taken
 * @example
 * if (isBudgetLeft(shared, context.className, chat.model, 1, HEDGE_RESERVE)) { ... }
 */
export function isBudgetLeft(
    shared: ExecutionShared,
    className: string,
    serviceName: string,
    charge: number,
    reserve: number,
): boolean {
    const key = JSON.stringify([className, serviceName]);
    return chargeRetry(shared.budgets.get(key) ?? createRetryBudget(), charge, { reserve }) !== undefined;
}
