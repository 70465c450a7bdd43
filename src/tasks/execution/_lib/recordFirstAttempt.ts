/**
 * @module Counts admitted requests and credits the retry budget of their class and service.
 */
import { addFirstAttempt } from "../../../decisions/outcomes/addFirstAttempt";
import { createRetryBudget } from "../../../decisions/outcomes/createRetryBudget";
import type { ExecutionShared } from "./executionShared";

/**
 * Counts an admitted request and credits its first attempt to its retry budget.
 *
 * @param shared - State shared by the node's executions
 * @param className - Class of the request
 * @param serviceName - Service or model that the request is for
 * @example
 * recordFirstAttempt(shared, context.className, chat.model);
 */
export function recordFirstAttempt(shared: ExecutionShared, className: string, serviceName: string): void {
    const key = JSON.stringify([className, serviceName]);
    shared.counts.requests++;
    shared.budgets.set(key, addFirstAttempt(shared.budgets.get(key) ?? createRetryBudget()));
}
