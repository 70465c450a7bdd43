/**
 * @module Finishing an admitted request.
 */
import { ensureAccount, updateOrder } from "./_lib/accountOrder";
import type { AdmissionPool, AdmittedRequest, PoolAccount } from "./admissionPool";
import { INITIAL_USE_SHARE, MEAN_WEIGHT, USE_SHARE_WEIGHT } from "./constants";

/**
 * Finishes an admitted request, corrects the charge to the tokens actually used, and updates the pool's averages.
 *
 * @param pool - The pool; changed in place
 * @param requestId - The request; one that isn't admitted is ignored
 * @param usedTokens - Prompt and output tokens used; 0 if nothing was executed; `undefined` if unknown, which leaves
 *     the estimated cost charged
 * @param nowMs - Now, in monotonic milliseconds
 * @returns Whether the request was admitted
 * @example
 * finishAdmittedRequest(pool, requestId, usage.promptTokens + usage.outputTokens, clock.readMonotonicMs());
 */
export function finishAdmittedRequest(
    pool: AdmissionPool,
    requestId: string,
    usedTokens: number | undefined,
    nowMs: number,
): boolean {
    const admitted = pool.admitted.get(requestId);
    if (admitted === undefined) {
        return false;
    }
    const account = ensureAccount(pool, admitted.accountName);
    pool.admitted.delete(requestId);
    account.admittedCount--;
    chargeDifference(pool, account, (usedTokens ?? admitted.costTokens) - admitted.costTokens);
    if (usedTokens !== undefined && usedTokens > 0) {
        recordUsage(pool, admitted, usedTokens, nowMs);
    }
    if (account.waitingCount === 0 && account.admittedCount === 0 && account.finishTag <= pool.virtualTime) {
        pool.accounts.delete(account.name);
    }
    return true;
}

function chargeDifference(pool: AdmissionPool, account: PoolAccount, correctionTokens: number): void {
    account.finishTag += correctionTokens;
    account.chargedTokens += correctionTokens;
    if (pool.fairShareCheck !== undefined) {
        pool.fairShareCheck.correctedTokens += Math.abs(correctionTokens);
    }
    if (account.waitingCount > 0 && correctionTokens !== 0) {
        updateOrder(pool, account);
    }
}

function recordUsage(pool: AdmissionPool, admitted: AdmittedRequest, usedTokens: number, nowMs: number): void {
    const { className, sizeTokens } = admitted;
    const durationMs = Math.max(1, nowMs - admitted.admittedAtMs);
    const share = pool.useShares.get(className) ?? INITIAL_USE_SHARE;
    const observedShare = Math.min(1, usedTokens / Math.max(1, sizeTokens));
    pool.useShares.set(className, share + USE_SHARE_WEIGHT * (observedShare - share));
    pool.meanDurationMs = computeMovingAverage(pool.meanDurationMs, durationMs);
    pool.meanCostTokens = computeMovingAverage(pool.meanCostTokens, usedTokens);
}

function computeMovingAverage(mean: number | undefined, value: number): number {
    return mean === undefined ? value : mean + MEAN_WEIGHT * (value - mean);
}
