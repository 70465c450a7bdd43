/**
 * @module Checks a retry budget without charging it.
 */
import { chargeRetry } from "../../../decisions/outcomes/chargeRetry";
import { createRetryBudget } from "../../../decisions/outcomes/createRetryBudget";
import type { ExecutionShared } from "./executionShared";

/**
 * Tells whether a retry budget allows an extra attempt now, without charging it.
 *
 * @param shared - State shared by the node's executions
 * @param className - Class of the request
 * @param serviceName - Service or model that the request is for
 * @param charge - 1 for a whole attempt
 * @param reserve - Budget that must remain after the charge
 * @returns Whether the attempt could be charged
 * @example
 * if (hasRetryBudget(shared, context.className, chat.model, 1, HEDGE_RESERVE)) { ... }
 */
export function hasRetryBudget(
    shared: ExecutionShared,
    className: string,
    serviceName: string,
    charge: number,
    reserve: number,
): boolean {
    const key = JSON.stringify([className, serviceName]);
    return chargeRetry(shared.budgets.get(key) ?? createRetryBudget(), charge, { reserve }) !== undefined;
}
