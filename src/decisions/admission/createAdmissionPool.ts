/**
 * @module Creating admission pools.
 */
import { Heap } from "heap-js";
import type { AdmissionPool, OrderEntry } from "./admissionPool";

/**
 * Creates an empty pool.
 *
 * @returns The pool
 * @example
 * const pool = createAdmissionPool();
 */
export function createAdmissionPool(): AdmissionPool {
    return {
        virtualTime: 0,
        accounts: new Map(),
        order: new Heap<OrderEntry>((left, right) => left.startTag - right.startTag),
        queued: new Map(),
        admitted: new Map(),
        waitingTokens: 0,
        meanDurationMs: undefined,
        meanCostTokens: undefined,
        useShares: new Map(),
        fairShareCheck: undefined,
    };
}
