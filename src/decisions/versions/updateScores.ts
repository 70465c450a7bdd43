/**
 * @module The sequential test behind brakes: a cumulative sum that forgets good times.
 *
 * Each score is the log of how much better "the rate is at least the alternative" explains what was seen than "the rate
 * is at most the allowed one", and never falls below 0. A long good past therefore can't hide a fault that begins
 * later. Under the allowed rate, the chance that a score reaches `h` at one observation is at most `exp(-h)`.
 */
import { listAlternativeRates } from "./listAlternativeRates";
import type { TestScores, TrialCount } from "./versionEvidence";

/**
 * Takes trials into the scores.
 *
 * @param scores - The scores so far; empty at the start
 * @param trials - New trials and bad ones among them
 * @param allowedRate - Rate a good version may have
 * @returns The new scores
 * @example
 * updateScores([], { trials: 1, bad: 1 }, 0.005);
 */
export function updateScores(scores: TestScores, trials: TrialCount, allowedRate: number): TestScores {
    const good = trials.trials - trials.bad;
    return listAlternativeRates(allowedRate).map((rate, index) => {
        const gain = trials.bad * Math.log(rate / allowedRate) + good * Math.log((1 - rate) / (1 - allowedRate));
        return Math.max(0, (scores[index] ?? 0) + gain);
    });
}
