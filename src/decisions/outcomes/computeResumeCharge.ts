/**
 * @module What a resumption costs the retry budget.
 */
import { PREFILL_TOKENS_PER_GENERATED_TOKEN, MINIMUM_RESUME_CHARGE } from "./constants";

/**
 * Computes the share of a request's whole work that a resumption by prefill does again.
 *
 * @param promptTokens - Tokens of the prompt
 * @param deliveredTokens - Tokens of the answer that the caller has
 * @param maximumTokens - Most tokens of the answer
 * @returns A share above 0 and at most 1
 * @example
 * computeResumeCharge(1_000, 100, 200); //=> about 0.37
 */
export function computeResumeCharge(promptTokens: number, deliveredTokens: number, maximumTokens: number): number {
    const wholeWork = promptTokens + Math.max(deliveredTokens, maximumTokens) * PREFILL_TOKENS_PER_GENERATED_TOKEN;
    const share = (promptTokens + deliveredTokens) / Math.max(1, wholeWork);
    return Math.min(1, Math.max(MINIMUM_RESUME_CHARGE, share));
}
