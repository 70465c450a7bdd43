/**
 * @module Estimating the cost of a request.
 */
import type { AdmissionPool } from "./admissionPool";
import { INITIAL_USE_SHARE } from "./constants";

/**
 * Estimates the tokens that a request will use: its prompt plus maximum output, times the share of these that recent
 * requests of its class have used.
 *
 * @param pool - The pool
 * @param size - Class, prompt tokens and maximum output tokens; both 0 for a call to an application runner
 * @returns Tokens, at least 1
 * @example
 * estimateCost(pool, { className: "question", promptTokens: 400, maximumTokens: 200 }); //=> 360
 */
export function estimateCost(
    pool: AdmissionPool,
    size: { readonly className: string; readonly promptTokens: number; readonly maximumTokens: number },
): number {
    const share = pool.useShares.get(size.className) ?? INITIAL_USE_SHARE;
    return Math.max(1, Math.round(share * (size.promptTokens + size.maximumTokens)));
}
