/**
 * @module Estimates the usage of nodes from which nothing is heard any more.
 */
import { RECENT_USAGE_MS } from "./constants";
import type { UsageSums } from "./news";

/**
 * Estimates what nodes had charged when they ended: what they reported, and as much as most recently until the end.
 *
 * @param sums - Their last reported usage
 * @param unreportedMs - Longest time for which they may have gone on after that report
 * @returns The usage
 * @example
 * estimateUsedAtEnd({ used: 900, recent: 100, asked: 400 }, 250); //=> 950
 */
export function estimateUsedAtEnd({ used, recent }: UsageSums, unreportedMs: number): number {
    return used + Math.round((recent * unreportedMs) / RECENT_USAGE_MS);
}
