/**
 * @module Taking an extra attempt from the budget of a class and service.
 */
import { chargeRetry } from "../../../decisions/outcomes/chargeRetry";
import { createRetryBudget } from "../../../decisions/outcomes/createRetryBudget";
import { Metric } from "../../../base/metrics/metric";
import type { ExecutionShared } from "./executionShared";

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
