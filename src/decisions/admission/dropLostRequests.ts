/**
 * @module Dropping work that has become useless.
 */
import { findFirstRequest, removeFromCounts } from "./_lib/accountOrder";
import type { AdmissionPool, WaitingRequest } from "./admissionPool";

/**
 * Takes every request out of the queue that can't meet its target any more. Each account's heap has the least slack on
 * top, so only lost requests and one more of each account are looked at.
 *
 * @param pool - The pool; changed in place
 * @param nowMs - Now, in monotonic milliseconds
 * @returns The lost requests
 * @example
 * for (const request of dropLostRequests(pool, nowMs)) { refuse(request); }
 */
export function dropLostRequests(pool: AdmissionPool, nowMs: number): readonly WaitingRequest[] {
    const lost: WaitingRequest[] = [];
    for (const account of pool.accounts.values()) {
        let first = findFirstRequest(account);
        while (first !== undefined && first.request.latestStartAtMs < nowMs) {
            account.waiting.pop();
            removeFromCounts(pool, first);
            lost.push(first.request);
            first = findFirstRequest(account);
        }
    }
    return lost;
}
