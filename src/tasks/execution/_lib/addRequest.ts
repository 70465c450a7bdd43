/**
 * @module What a request earns for the retry budget of its class and service.
 */
import { addFirstAttempt } from "../../../decisions/outcomes/addFirstAttempt";
import { createRetryBudget } from "../../../decisions/outcomes/createRetryBudget";
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
