/**
 * @module Giving up a request.
 */
import { ensureAccount, removeFromCounts, trimCancelled } from "./_lib/accountOrder";
import type { AdmissionPool } from "./admissionPool";

/**
 * Takes a waiting request out of the queue. Its account's other requests keep their turn.
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
    trimCancelled(ensureAccount(pool, queued.request.accountName));
    return true;
}
