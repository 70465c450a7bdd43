/**
 * @module Charges extra attempts to the retry budget of a class and service.
 */
import { chargeRetry } from "../../../decisions/outcomes/chargeRetry";
import { createRetryBudget } from "../../../decisions/outcomes/createRetryBudget";
import { Metric } from "../../../base/metrics/metric";
import type { ExecutionShared } from "./executionShared";

/**
 * Charges an extra attempt to a retry budget.
 *
 * @param shared - State shared by the node's executions
 * @param className - Class of the request
 * @param serviceName - Service or model that the request is for
 * @param charge - 1 for a whole attempt
 * @param reserve - Budget that must remain after the charge (default 0)
 * @returns Whether the budget allowed the attempt
 * @example
 * if (!chargeRetryBudget(shared, context.className, chat.model, 1)) { ... }
 */
export function chargeRetryBudget(
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
        shared.dependencies.metrics?.count(Metric.RetriesRefused, { class: className });
        return false;
    }
    shared.budgets.set(key, after);
    shared.counts.extraAttempts++;
    return true;
}
