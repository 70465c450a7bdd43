/**
 * @module Accounts of a pool and their order of dispatch.
 */
import { Heap } from "heap-js";
import type { AdmissionPool, OrderEntry, PoolAccount, QueuedRequest } from "../admissionPool";
import { VOID_SHARE, VOID_SPARE } from "../constants";

/** Gives the account of that name, new if the pool doesn't know it. */
export function ensureAccount(pool: AdmissionPool, name: string): PoolAccount {
    const known = pool.accounts.get(name);
    if (known !== undefined) {
        return known;
    }
    const account: PoolAccount = {
        name,
        finishTag: pool.virtualTime,
        orderNumber: 0,
        waiting: new Heap<QueuedRequest>((left, right) => left.request.latestStartAtMs - right.request.latestStartAtMs),
        waitingCount: 0,
        waitingTokens: 0,
        waitingTokensByTarget: new Map(),
        admittedCount: 0,
        chargedTokens: 0,
    };
    pool.accounts.set(name, account);
    return account;
}

/** Start tag of the account's next request. */
export function computeStartTag(pool: AdmissionPool, account: PoolAccount): number {
    return Math.max(pool.virtualTime, account.finishTag);
}

/** Puts a waiting account into the order anew; its earlier entry becomes void. */
export function updateOrder(pool: AdmissionPool, account: PoolAccount): void {
    account.orderNumber++;
    if (pool.order.length > VOID_SHARE * pool.accounts.size + VOID_SPARE) {
        pool.order.init(pool.order.toArray().filter(entry => entry.orderNumber === entry.account.orderNumber));
    }
    if (account.waitingCount > 0) {
        const startTag = computeStartTag(pool, account);
        pool.order.push({ account, startTag, orderNumber: account.orderNumber });
    }
}

/** Takes the waiting account with the lowest start tag out of the order. */
export function takeFirstAccount(pool: AdmissionPool): OrderEntry | undefined {
    for (let entry = pool.order.pop(); entry !== undefined; entry = pool.order.pop()) {
        if (entry.orderNumber === entry.account.orderNumber && entry.account.waitingCount > 0) {
            return entry;
        }
    }
    return undefined;
}

/** The account's waiting request with the least slack; drops cancelled ones on the way. */
export function findFirstRequest(account: PoolAccount): QueuedRequest | undefined {
    let first = account.waiting.peek();
    while (first?.isCancelled === true) {
        account.waiting.pop();
        first = account.waiting.peek();
    }
    return first;
}

/** Drops cancelled requests from the account's heap once they are the greater part of it. */
export function trimCancelled(account: PoolAccount): void {
    if (account.waiting.length > VOID_SHARE * account.waitingCount + VOID_SPARE) {
        account.waiting.init(account.waiting.toArray().filter(queued => !queued.isCancelled));
    }
}

/** Takes a request out of the counts of its account and pool. */
export function removeFromCounts(pool: AdmissionPool, queued: QueuedRequest): void {
    const { request } = queued;
    const account = ensureAccount(pool, request.accountName);
    const sameTarget = account.waitingTokensByTarget.get(request.latencyTargetMs) ?? 0;
    queued.isCancelled = true;
    pool.queued.delete(request.requestId);
    pool.waitingTokens -= request.costTokens;
    account.waitingCount--;
    account.waitingTokens -= request.costTokens;
    account.waitingTokensByTarget.set(request.latencyTargetMs, sameTarget - request.costTokens);
    if (account.waitingCount === 0) {
        account.waitingTokens = 0;
        account.waitingTokensByTarget.clear();
        account.waiting.clear();
    }
    if (pool.queued.size === 0) {
        pool.waitingTokens = 0;
        pool.order.clear();
    }
}
