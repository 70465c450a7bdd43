/**
 * @module Dropping waiting requests that can no longer meet their latency target.
 */
import { findFirstRequest, removeFromCounts } from "./_lib/accountOrder";
import type { AdmissionPool, WaitingRequest } from "./admissionPool";

/**
 * Removes every request from the queue that can no longer meet its latency target. Each account's heap has the request
 * with the least slack on top, so only the late requests and one more per account are visited.
 *
 * @param pool - The pool; changed in place
 * @param nowMs - Now, in monotonic milliseconds
 * @returns The removed requests
 * @example
 * for (const request of dropLateRequests(pool, nowMs)) { refuse(request); }
 */
export function dropLateRequests(pool: AdmissionPool, nowMs: number): readonly WaitingRequest[] {
    const late: WaitingRequest[] = [];
    for (const account of pool.accounts.values()) {
        let first = findFirstRequest(account);
        while (first !== undefined && first.request.latestStartAtMs < nowMs) {
            account.waiting.pop();
            removeFromCounts(pool, first);
            late.push(first.request);
            first = findFirstRequest(account);
        }
    }
    return late;
}
