/**
 * @module The retry budgets of this node, one per class and service.
 */
import { addFirstAttempt } from "../../../decisions/outcomes/addFirstAttempt";
import { chargeRetry } from "../../../decisions/outcomes/chargeRetry";
import { createRetryBudget } from "../../../decisions/outcomes/createRetryBudget";
import { Metric } from "../../../base/metrics/metric";
import type { ExecutionShared } from "./executionShared";

/**
 * Counts a request's first attempt for its budget.
 *
 * @param shared - The node's budgets
 * @param className - Class of the request
 * @param serviceName - Destination of the request
 * @example
 * addRequest(shared, context.className, chat.model);
 */
export function addRequest(shared: ExecutionShared, className: string, serviceName: string): void {
    const key = JSON.stringify([className, serviceName]);
    shared.counts.requests++;
    shared.budgets.set(key, addFirstAttempt(shared.budgets.get(key) ?? createRetryBudget()));
}

/**
 * Takes an extra attempt from a budget.
 *
 * @param shared - The node's budgets
 * @param className - Class of the request
 * @param serviceName - Destination of the request
 * @param charge - 1 for a whole attempt
 * @param reserve - What has to be left for others (default 0)
 * @returns False if the budget does not allow it
 * @example
 * if (!chargeBudget(shared, context.className, chat.model, 1)) { ... }
 */
export function chargeBudget(
    shared: ExecutionShared,
    className: string,
    serviceName: string,
    charge: number,
    reserve = 0,
): boolean {
    const key = JSON.stringify([className, serviceName]);
    const after = chargeRetry(shared.budgets.get(key) ?? createRetryBudget(), charge, { reserve });
    if (after === undefined) {
        shared.counts.refusedByBudget++;
        shared.parts.metrics?.count(Metric.RetriesRefused, { class: className });
        return false;
    }
    shared.budgets.set(key, after);
    shared.counts.extraAttempts++;
    return true;
}

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
