/**
 * @module Byte budgets of clusters of different size.
 */
import { FULL_SIZE_NODES, LARGEST_BUDGET_FACTOR } from "../constants";

/** How many times the budget of a node of a full-size cluster a node may spend. */
export function computeBudgetFactor(nodeCount: number): number {
    return Math.min(LARGEST_BUDGET_FACTOR, Math.max(1, FULL_SIZE_NODES / Math.max(1, nodeCount)));
}
