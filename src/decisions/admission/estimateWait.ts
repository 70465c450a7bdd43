/**
 * @module How long a new request would wait.
 */
import { computeStartTag } from "./_lib/accountOrder";
import type { AdmissionPool, PoolAccount, WaitingRequest } from "./admissionPool";

/**
 * Estimates the wait of a request that arrives now, under the fair order: what its own account has waiting with no
 * longer target, and of each other account what starts before the request's own start tag.
 *
 * @param pool - The pool
 * @param request - The arriving request
 * @param tokensPerMs - How fast this node starts work
 * @returns Milliseconds; infinite if nothing is started
 * @example
 * estimateWait(pool, request, estimateDrainRate(pool, capacity, request));
 */
export function estimateWait(pool: AdmissionPool, request: WaitingRequest, tokensPerMs: number): number {
    if (pool.queued.size === 0) {
        return 0;
    }
    const account = pool.accounts.get(request.accountName);
    const ownAhead = sumAhead(account, request.latencyTargetMs);
    const startTag = account === undefined ? pool.virtualTime : computeStartTag(pool, account);
    let ahead = ownAhead;
    for (const other of pool.accounts.values()) {
        if (other !== account && other.waitingCount > 0) {
            const lead = startTag + ownAhead - computeStartTag(pool, other);
            ahead += Math.min(other.waitingTokens, Math.max(0, lead));
        }
    }
    return tokensPerMs > 0 ? ahead / tokensPerMs : Infinity;
}

function sumAhead(account: PoolAccount | undefined, latencyTargetMs: number): number {
    let tokens = 0;
    for (const [targetMs, waitingTokens] of account?.waitingTokensByTarget ?? []) {
        tokens += targetMs <= latencyTargetMs ? waitingTokens : 0;
    }
    return tokens;
}
