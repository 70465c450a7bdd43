/**
 * @module The accounts of a pool and the order in which they are dispatched.
 */
import { Heap } from "heap-js";
import type { AdmissionPool, OrderEntry, PoolAccount, QueuedRequest } from "../admissionPool";
import { STALE_ENTRIES_RATIO, STALE_ENTRIES_ALLOWANCE } from "../constants";

/** Returns the account with this name and creates it if the pool doesn't have it yet. */
export function ensureAccount(pool: AdmissionPool, name: string): PoolAccount {
    const known = pool.accounts.get(name);
    if (known !== undefined) {
        return known;
    }
    const account: PoolAccount = {
        name,
        finishTag: pool.virtualTime,
        orderVersion: 0,
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

/** Computes the start tag of the account's next request. */
export function computeStartTag(pool: AdmissionPool, account: PoolAccount): number {
    return Math.max(pool.virtualTime, account.finishTag);
}

/**
 * Adds a new order entry for a waiting account, which makes its earlier entry stale. Stale entries are removed when
 * they are taken, or all at once when they make up most of the heap.
 */
export function updateOrder(pool: AdmissionPool, account: PoolAccount): void {
    account.orderVersion++;
    if (pool.order.length > STALE_ENTRIES_RATIO * pool.accounts.size + STALE_ENTRIES_ALLOWANCE) {
        pool.order.init(pool.order.toArray().filter(entry => entry.orderVersion === entry.account.orderVersion));
    }
    if (account.waitingCount > 0) {
        const startTag = computeStartTag(pool, account);
        pool.order.push({ account, startTag, orderVersion: account.orderVersion });
    }
}

/** Removes and returns the order entry of the waiting account with the lowest start tag. */
export function takeFirstAccount(pool: AdmissionPool): OrderEntry | undefined {
    for (let entry = pool.order.pop(); entry !== undefined; entry = pool.order.pop()) {
        if (entry.orderVersion === entry.account.orderVersion && entry.account.waitingCount > 0) {
            return entry;
        }
    }
    return undefined;
}

/** Finds the account's waiting request with the least slack and drops cancelled requests from the top of its heap. */
export function findFirstRequest(account: PoolAccount): QueuedRequest | undefined {
    let first = account.waiting.peek();
    while (first?.isCancelled === true) {
        account.waiting.pop();
        first = account.waiting.peek();
    }
    return first;
}

/** Drops all cancelled requests from the account's heap once they make up most of it. */
export function trimCancelledRequests(account: PoolAccount): void {
    if (account.waiting.length > STALE_ENTRIES_RATIO * account.waitingCount + STALE_ENTRIES_ALLOWANCE) {
        account.waiting.init(account.waiting.toArray().filter(queued => !queued.isCancelled));
    }
}

/**
 * Removes a request from the waiting counts of its account and pool and marks it as cancelled, so that a heap that
 * still holds it ignores it.
 */
export function removeFromCounts(pool: AdmissionPool, queued: QueuedRequest): void {
    const { request } = queued;
    const account = ensureAccount(pool, request.accountName);
    const tokensOfTarget = account.waitingTokensByTarget.get(request.latencyTargetMs) ?? 0;
    queued.isCancelled = true;
    pool.queued.delete(request.requestId);
    pool.waitingTokens -= request.costTokens;
    account.waitingCount--;
    account.waitingTokens -= request.costTokens;
    account.waitingTokensByTarget.set(request.latencyTargetMs, tokensOfTarget - request.costTokens);
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
