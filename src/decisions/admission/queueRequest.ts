/**
 * @module Adding a request to the queue of its account.
 */
import { ensureAccount, updateOrder } from "./_lib/accountOrder";
import type { AdmissionPool, WaitingRequest } from "./admissionPool";

/**
 * Queues a request behind those of its account that have less slack.
 *
 * @param pool - The pool; changed in place
 * @param request - The request; its id must not be in the pool yet
 * @example
 * queueRequest(pool, request);
 */
export function queueRequest(pool: AdmissionPool, request: WaitingRequest): void {
    const account = ensureAccount(pool, request.accountName);
    const queued = { request, isCancelled: false };
    const tokensOfTarget = account.waitingTokensByTarget.get(request.latencyTargetMs) ?? 0;
    pool.queued.set(request.requestId, queued);
    pool.waitingTokens += request.costTokens;
    account.waiting.push(queued);
    account.waitingCount++;
    account.waitingTokens += request.costTokens;
    account.waitingTokensByTarget.set(request.latencyTargetMs, tokensOfTarget + request.costTokens);
    if (account.waitingCount === 1) {
        updateOrder(pool, account);
    }
}
