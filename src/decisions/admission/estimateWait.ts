/**
 * @module Estimating how long an arriving request would wait.
 */
import { computeStartTag } from "./_lib/accountOrder";
import type { AdmissionPool, PoolAccount, WaitingRequest } from "./admissionPool";

/**
 * Estimates how long a request that arrives now would wait in the fair order. Ahead of it are the waiting requests of
 * its own account with the same or a shorter latency target, and those of each other account up to the request's own
 * start tag.
 *
 * @param pool - The pool
 * @param request - The arriving request
 * @param tokensPerMs - Cost in tokens that this node starts per millisecond
 * @returns Milliseconds; infinite if the rate is 0
 * @example
 * estimateWait(pool, request, estimateDrainRate(pool, capacity, request));
 */
export function estimateWait(pool: AdmissionPool, request: WaitingRequest, tokensPerMs: number): number {
    if (pool.queued.size === 0) {
        return 0;
    }
    const account = pool.accounts.get(request.accountName);
    const ownTokensAhead = sumOwnTokensAhead(account, request.latencyTargetMs);
    const startTag = account === undefined ? pool.virtualTime : computeStartTag(pool, account);
    let tokensAhead = ownTokensAhead;
    for (const other of pool.accounts.values()) {
        if (other !== account && other.waitingCount > 0) {
            const leadTokens = startTag + ownTokensAhead - computeStartTag(pool, other);
            tokensAhead += Math.min(other.waitingTokens, Math.max(0, leadTokens));
        }
    }
    return tokensPerMs > 0 ? tokensAhead / tokensPerMs : Infinity;
}

function sumOwnTokensAhead(account: PoolAccount | undefined, latencyTargetMs: number): number {
    let tokens = 0;
    for (const [targetMs, waitingTokens] of account?.waitingTokensByTarget ?? []) {
        tokens += targetMs <= latencyTargetMs ? waitingTokens : 0;
    }
    return tokens;
}
