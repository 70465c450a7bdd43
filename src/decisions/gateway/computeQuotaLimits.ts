/**
 * @module Computes what all nodes together may charge to an account.
 */
import type { GatewayAccount } from "../../model/gateway";

/** The window of the quotas, and the tolerance by which all nodes together may exceed them. */
export interface QuotaPolicy {
    readonly quotaWindowMs: number;
    /** By how much a quota may be exceeded in a window: `quotaOverrun` as a share of it, plus `quotaSlack`. */
    readonly quotaOverrun: number;
    readonly quotaSlack: number;
}

const MS_PER_S = 1_000;
/** Share of the bound that is used; the rest is for what the estimate of unreported usage misses. */
const USABLE_SHARE = 0.985;
/** Where between the quota and the bound the usage of an over-asking account is held: 0 is the quota, 1 the bound. */
const TARGET_POSITION = 0.6;

/** What all nodes together may charge to an account in a window. */
export interface QuotaLimits {
    readonly quota: number;
    /** What an over-asking account is held at. */
    readonly target: number;
    readonly limit: number;
}

/**
 * Computes the limits of an account.
 *
 * @param account - The account
 * @param policy - The window and the tolerance
 * @returns The limits
 * @example
 * computeQuotaLimits(account, policy).limit;
 */
export function computeQuotaLimits(
    account: GatewayAccount,
    { quotaWindowMs, quotaOverrun, quotaSlack }: QuotaPolicy,
): QuotaLimits {
    const quota = (account.quotaPerSecond * quotaWindowMs) / MS_PER_S + account.quotaBurst;
    const tolerance = quota * quotaOverrun + (account.countsTokens ? quotaSlack : 0);
    return { quota, target: quota + TARGET_POSITION * tolerance, limit: (quota + tolerance) * USABLE_SHARE };
}
