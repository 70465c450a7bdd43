/**
 * @module Estimates how much more an account asks for than the nodes' reports say.
 */
import { RECENT_USAGE_MS } from "../relays/constants";
import type { UsageSums } from "../relays/news";
import type { AccountState } from "./accountState";

/** Number of requests of the present size that the estimate of growth assumes in addition to the received ones. */
const GROWTH_PRIOR_REQUESTS = 1;

/** The request that is judged, and where. */
export interface GrowthInput {
    readonly amount: number;
    /** Nodes whose usage is reported. */
    readonly reachable: number;
    /** For how long a node of the group has known what it was asked for, up to the quota window. */
    readonly knownMs: number;
    readonly nowMs: number;
}

/**
 * Estimates by what factor the requests of an account grew since the reports, from those that this node received most
 * recently and in the whole window. The usage of an average node, or of a few requests, is added to both, since few
 * requests say little.
 *
 * @param sums - What all nodes have charged and were asked for
 * @param state - What this node was asked for
 * @param input - The request that is judged, and where
 * @returns The factor, 1 or more
 * @example
 * estimateGrowth(sums, state, { amount: 10, reachable: 3, knownMs: 8_000, nowMs });
 */
export function estimateGrowth(
    sums: UsageSums,
    { asked, askedInWindow }: Pick<AccountState, "asked" | "askedInWindow">,
    { amount, reachable, knownMs, nowMs }: GrowthInput,
): number {
    const prior = Math.max(sums.asked / Math.max(1, reachable), GROWTH_PRIOR_REQUESTS * amount);
    const usual = (askedInWindow.sum(nowMs) * RECENT_USAGE_MS) / Math.max(RECENT_USAGE_MS, knownMs);
    const received = Math.max(0, asked.sum(nowMs) - amount);
    // Less one standard deviation, or the chance arrival of a few requests would count as growth.
    return Math.max(1, (received - Math.sqrt(received * amount) + prior) / (usual + prior));
}
