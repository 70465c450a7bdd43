/**
 * @module The token bucket that limits a node's traffic to other nodes.
 */
import { SEND_BURST_BYTES, SEND_BYTES_PER_SECOND, MINIMUM_SEND_BUDGET_BYTES } from "./constants";

/** Bytes that may be sent now. Heartbeats are always sent and may make it negative. */
export interface SendBudget {
    readonly bytes: number;
    /** Monotonic milliseconds. */
    readonly updatedAtMs: number;
}

/**
 * Refills the budget for the time passed.
 *
 * @param budget - The budget before
 * @param nowMs - Monotonic milliseconds
 * @returns The budget now, at most `SEND_BURST_BYTES`
 * @example
 * refreshBudget({ bytes: 0, updatedAtMs: 0 }, 1_000).bytes; //=> 1_800
 */
export function refreshBudget(budget: SendBudget, nowMs: number): SendBudget {
    const refilledBytes = ((nowMs - budget.updatedAtMs) / 1_000) * SEND_BYTES_PER_SECOND;
    return { bytes: Math.min(SEND_BURST_BYTES, budget.bytes + refilledBytes), updatedAtMs: nowMs };
}

/**
 * Charges sent bytes to the budget.
 *
 * @param budget - The budget before
 * @param bytes - Bytes sent, including framing
 * @returns The budget after, at least `MINIMUM_SEND_BUDGET_BYTES`
 * @example
 * chargeBudget(budget, 540);
 */
export function chargeBudget(budget: SendBudget, bytes: number): SendBudget {
    return { ...budget, bytes: Math.max(MINIMUM_SEND_BUDGET_BYTES, budget.bytes - bytes) };
}
