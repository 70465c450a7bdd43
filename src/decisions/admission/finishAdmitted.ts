/**
 * @module Ending an admitted request.
 */
import { ensureAccount, updateOrder } from "./_lib/accountOrder";
import type { AdmissionPool, AdmittedRequest, PoolAccount } from "./admissionPool";
import { INITIAL_USE_SHARE, MEAN_WEIGHT, USE_SHARE_WEIGHT } from "./constants";

/**
 * Ends an admitted request, corrects the charge to what it really used, and learns from it.
 *
 * @param pool - The pool; changed in place
 * @param requestId - The request; one that isn't admitted is ignored
 * @param usedTokens - Tokens used, prompt and output; 0 if nothing was run; `undefined` if unknown, which charges the
 *     estimate
 * @param nowMs - Now, in monotonic milliseconds
 * @returns Whether the request was admitted
 * @example
 * finishAdmitted(pool, requestId, usage.promptTokens + usage.outputTokens, clock.readMonotonicMs());
 */
export function finishAdmitted(
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
    chargeCorrection(pool, account, (usedTokens ?? admitted.costTokens) - admitted.costTokens);
    if (usedTokens !== undefined && usedTokens > 0) {
        recordUse(pool, admitted, usedTokens, nowMs);
    }
    if (account.waitingCount === 0 && account.admittedCount === 0 && account.finishTag <= pool.virtualTime) {
        pool.accounts.delete(account.name);
    }
    return true;
}

function chargeCorrection(pool: AdmissionPool, account: PoolAccount, correctionTokens: number): void {
    account.finishTag += correctionTokens;
    account.chargedTokens += correctionTokens;
    if (pool.floorWatch !== undefined) {
        pool.floorWatch.correctedTokens += Math.abs(correctionTokens);
    }
    if (account.waitingCount > 0 && correctionTokens !== 0) {
        updateOrder(pool, account);
    }
}

function recordUse(pool: AdmissionPool, admitted: AdmittedRequest, usedTokens: number, nowMs: number): void {
    const { className, sizeTokens } = admitted;
    const durationMs = Math.max(1, nowMs - admitted.admittedAtMs);
    const share = pool.useShares.get(className) ?? INITIAL_USE_SHARE;
    const observed = Math.min(1, usedTokens / Math.max(1, sizeTokens));
    pool.useShares.set(className, share + USE_SHARE_WEIGHT * (observed - share));
    pool.meanDurationMs = computeMean(pool.meanDurationMs, durationMs);
    pool.meanCostTokens = computeMean(pool.meanCostTokens, usedTokens);
}

function computeMean(mean: number | undefined, value: number): number {
    return mean === undefined ? value : mean + MEAN_WEIGHT * (value - mean);
}
