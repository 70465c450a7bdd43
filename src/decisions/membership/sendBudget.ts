/**
 * @module The budget that bounds a node's traffic with other nodes.
 */
import { SENT_BURST_BYTES, SENT_BYTES_PER_SECOND, SENT_DEBT_BYTES } from "./constants";

/** Bytes that may be sent now. Signs of life are sent in any case and may take it below zero. */
export interface SendBudget {
    readonly bytes: number;
    /** Monotonic milliseconds. */
    readonly updatedAtMs: number;
}

/**
 * Lets the budget grow with time.
 *
 * @param budget - The budget before
 * @param nowMs - Monotonic milliseconds
 * @returns The budget now, at most a burst
 * @example
 * refreshBudget({ bytes: 0, updatedAtMs: 0 }, 1_000).bytes; //=> 1_800
 */
export function refreshBudget(budget: SendBudget, nowMs: number): SendBudget {
    const grown = ((nowMs - budget.updatedAtMs) / 1_000) * SENT_BYTES_PER_SECOND;
    return { bytes: Math.min(SENT_BURST_BYTES, budget.bytes + grown), updatedAtMs: nowMs };
}

/**
 * Charges sent bytes.
 *
 * @param budget - The budget before
 * @param bytes - Bytes sent, framing included
 * @returns The budget after
 * @example
 * chargeBudget(budget, 540);
 */
export function chargeBudget(budget: SendBudget, bytes: number): SendBudget {
    return { ...budget, bytes: Math.max(SENT_DEBT_BYTES, budget.bytes - bytes) };
}
