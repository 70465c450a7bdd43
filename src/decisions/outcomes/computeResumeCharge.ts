/**
 * @module Computes what a resumption costs the retry budget.
 */
import { PREFILL_TOKENS_PER_GENERATED_TOKEN, MINIMUM_RESUME_CHARGE } from "./constants";

/**
 * Computes the fraction of a request's total work that is repeated when another runner resumes the answer by
 * prefilling the prompt and the delivered tokens.
 *
 * @param promptTokens - Tokens of the prompt
 * @param deliveredTokens - Tokens of the answer that the caller already has
 * @param maximumTokens - Maximum tokens of the answer
 * @returns A fraction above 0 and at most 1
 * @example
 * computeResumeCharge(1_000, 100, 200); //=> about 0.37
 */
export function computeResumeCharge(promptTokens: number, deliveredTokens: number, maximumTokens: number): number {
    const totalWork = promptTokens + Math.max(deliveredTokens, maximumTokens) * PREFILL_TOKENS_PER_GENERATED_TOKEN;
    const repeatedFraction = (promptTokens + deliveredTokens) / Math.max(1, totalWork);
    return Math.min(1, Math.max(MINIMUM_RESUME_CHARGE, repeatedFraction));
}
