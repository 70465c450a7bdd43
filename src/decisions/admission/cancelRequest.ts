/**
 * @module Cancelling a waiting request.
 */
import { ensureAccount, removeFromCounts, trimCancelledRequests } from "./_lib/accountOrder";
import type { AdmissionPool } from "./admissionPool";

/**
 * Removes a waiting request from the queue. The other requests of its account keep their order.
 *
 * @param pool - The pool; changed in place
 * @param requestId - The request
 * @returns Whether it was waiting
 * @example
 * cancelRequest(pool, requestId);
 */
export function cancelRequest(pool: AdmissionPool, requestId: string): boolean {
    const queued = pool.queued.get(requestId);
    if (queued === undefined) {
        return false;
    }
    removeFromCounts(pool, queued);
    trimCancelledRequests(ensureAccount(pool, queued.request.accountName));
    return true;
}
