/**
 * @module Choosing the request that starts next.
 */
import { findFirstRequest, removeFromCounts, takeFirstAccount, updateOrder } from "./_lib/accountOrder";
import { checkFloor, endWatch } from "./_lib/floorWatch";
import type { AdmissionPool, OrderEntry, PoolAccount, WaitingRequest } from "./admissionPool";

/**
 * Admits the request whose turn it is: the one with the least slack of the account with the lowest start tag. An
 * account whose first request has no room, for example under its cost ceiling, is passed over this time.
 *
 * @param pool - The pool; changed in place
 * @param hasRoom - Whether a request may start now
 * @param nowMs - Now, in monotonic milliseconds
 * @returns The admitted request, charged to its account; `undefined` if none may start
 * @example
 * const next = dispatchRequest(pool, request => room > 0, clock.readMonotonicMs());
 */
export function dispatchRequest(
    pool: AdmissionPool,
    hasRoom: (request: WaitingRequest) => boolean,
    nowMs: number,
): WaitingRequest | undefined {
    const passedOver: PoolAccount[] = [];
    let admitted: WaitingRequest | undefined;
    for (let entry = takeFirstAccount(pool); entry !== undefined; entry = takeFirstAccount(pool)) {
        const first = findFirstRequest(entry.account);
        if (first !== undefined && hasRoom(first.request)) {
            admitted = first.request;
            startRequest(pool, entry, admitted, nowMs);
            break;
        }
        passedOver.push(entry.account);
    }
    for (const account of passedOver) {
        endWatch(pool, account);
        updateOrder(pool, account);
    }
    return admitted;
}

function startRequest(pool: AdmissionPool, entry: OrderEntry, request: WaitingRequest, nowMs: number): void {
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
    checkFloor(pool, account, costTokens);
}
