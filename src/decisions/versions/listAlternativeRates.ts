/**
 * @module Lists the rates of bad trials that a new version is tested for.
 */

const MAXIMUM_RATE = 0.98;
const SMALL_FAULT_FACTOR = 4;

/**
 * Lists the alternative hypotheses of the sequential test: a small fault, a medium one, one that affects about half of
 * the calls, and one that affects nearly all of them.
 *
 * @param allowedRate - Rate that a good version may have, from 0 to 0.9
 * @returns Four rates, all above the allowed rate
 * @example
 * listAlternativeRates(0.005); //=> [0.02, 0.14, 0.5025, 0.98]
 */
export function listAlternativeRates(allowedRate: number): readonly number[] {
    const small = Math.min(SMALL_FAULT_FACTOR * allowedRate, (allowedRate + MAXIMUM_RATE) / 2);
    return [small, Math.sqrt(small), (1 + allowedRate) / 2, MAXIMUM_RATE];
}
