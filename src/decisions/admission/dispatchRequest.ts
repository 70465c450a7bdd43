/**
 * @module Choosing the request to start next.
 */
import { findFirstRequest, removeFromCounts, takeFirstAccount, updateOrder } from "./_lib/accountOrder";
import { checkFairShare, endFairShareCheck } from "./_lib/fairShareCheck";
import type { AdmissionPool, OrderEntry, PoolAccount, WaitingRequest } from "./admissionPool";

/**
 * Admits the next request in fair order: the one with the least slack of the account with the lowest start tag. An
 * account whose first request can't start now, for example because no endpoint within its cost ceiling has a free slot,
 * is skipped in this call.
 *
 * @param pool - The pool; changed in place
 * @param hasCapacity - Tells whether there is capacity to start a request now
 * @param nowMs - Now, in monotonic milliseconds
 * @returns The admitted request, which has been charged to its account; `undefined` if none can start
 * @example
 * const next = dispatchRequest(pool, request => freeSlots > 0, clock.readMonotonicMs());
 */
export function dispatchRequest(
    pool: AdmissionPool,
    hasCapacity: (request: WaitingRequest) => boolean,
    nowMs: number,
): WaitingRequest | undefined {
    const skipped: PoolAccount[] = [];
    let admitted: WaitingRequest | undefined;
    for (let entry = takeFirstAccount(pool); entry !== undefined; entry = takeFirstAccount(pool)) {
        const first = findFirstRequest(entry.account);
        if (first !== undefined && hasCapacity(first.request)) {
            admitted = first.request;
            admitRequest(pool, entry, admitted, nowMs);
            break;
        }
        skipped.push(entry.account);
    }
    for (const account of skipped) {
        endFairShareCheck(pool, account);
        updateOrder(pool, account);
    }
    return admitted;
}

function admitRequest(pool: AdmissionPool, entry: OrderEntry, request: WaitingRequest, nowMs: number): void {
    const { account, startTag } = entry;
    const { accountName, className, costTokens, sizeTokens } = request;
    const queued = account.waiting.pop();
    if (queued !== undefined) {
        removeFromCounts(pool, queued);
    }
    pool.virtualTime = startTag;
    account.finishTag = startTag + costTokens;
    account.chargedTokens += costTokens;
    account.admittedCount++;
    pool.admitted.set(request.requestId, { accountName, className, costTokens, sizeTokens, admittedAtMs: nowMs });
    updateOrder(pool, account);
    checkFairShare(pool, account, costTokens);
}
