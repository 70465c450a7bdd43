/**
 * @module The fault rates that a new version is tested for.
 */

const HIGHEST_RATE = 0.98;
const MULTIPLE_OF_ALLOWED = 4;

/**
 * Lists the rates that the test holds against the allowed one: a small fault, one in between, one that hits every second
 * call, and one that hits nearly every call.
 *
 * @param allowedRate - Rate a good version may have, 0 to 0.9
 * @returns Four rates, all above the allowed one
 * @example
 * listAlternatives(0.005); //=> [0.02, 0.14, 0.5025, 0.98]
 */
export function listAlternativeRates(allowedRate: number): readonly number[] {
    const small = Math.min(MULTIPLE_OF_ALLOWED * allowedRate, (allowedRate + HIGHEST_RATE) / 2);
    return [small, Math.sqrt(small), (1 + allowedRate) / 2, HIGHEST_RATE];
}
