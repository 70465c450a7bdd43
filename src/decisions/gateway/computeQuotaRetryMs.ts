/**
 * @module The retry time of a request that an account's quota refuses.
 */
import type { GatewayAccount } from "../../model/gateway";

const MS_PER_S = 1_000;
/** Below it a retry would find what the refused request found: nodes report to each other every 250 ms. */
const RETRY_MS_MIN = 100;
/** Above it few callers would still wait for the response. */
const RETRY_MS_MAX = 1_000;

/**
 * Computes when a request that was refused for the quota of its account may come again. A flooding account is granted its
 * quota steadily, so some request is admitted at any time: the time is that in which the quota grants the amount of this
 * one. A longer time lets each retry come too late for its objective, and the quota is used up for late responses.
 *
 * @param account - The account, with a quota
 * @param amount - What the request would have been charged, in the unit of the quota
 * @returns The time in milliseconds, from 100 to 1,000
 * @example
 * computeQuotaRetryMs({ ...account, quotaPerSecond: 10_000 }, 5_000); //=> 500
 */
export function computeQuotaRetryMs(
    { quotaPerSecond }: Pick<GatewayAccount, "quotaPerSecond">,
    amount: number,
): number {
    return Math.min(RETRY_MS_MAX, Math.max(RETRY_MS_MIN, (amount / quotaPerSecond) * MS_PER_S));
}
