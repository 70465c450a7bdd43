/**
 * @module An account with a quota, and the policy of quotas, for tests.
 */
import type { GatewayAccount } from "../../../model/gateway";

/** An account whose quota of a window is 850 tokens. */
export const QUOTA_ACCOUNT: GatewayAccount = {
    name: "county",
    keys: ["k"],
    priority: undefined,
    quotaPerSecond: 100,
    quotaBurst: 50,
    countsTokens: true,
    defaultTokens: 1,
};

/** A policy by which all nodes together may charge up to 980 tokens of that account in a window. */
export const QUOTA_POLICY = { quotaWindowMs: 8_000, quotaOverrun: 0.1, quotaSlack: 45 };
