/**
 * @module Scaling of per-node byte budgets with the cluster size.
 */
import { REFERENCE_NODE_COUNT, LARGEST_BUDGET_FACTOR } from "../constants";

/** Computes the factor by which a node may exceed the byte budgets, which are stated for a large cluster. */
export function computeBudgetFactor(nodeCount: number): number {
    return Math.min(LARGEST_BUDGET_FACTOR, Math.max(1, REFERENCE_NODE_COUNT / Math.max(1, nodeCount)));
}
