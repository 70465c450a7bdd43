/**
 * @module The sequential test that detects a faulty new version: a CUSUM test of log-likelihood ratios.
 *
 * Each score is the log-likelihood ratio of the hypothesis that the rate of bad trials equals an alternative rate
 * against the hypothesis that it equals the allowed rate. It is reset to 0 whenever it would become negative, so a long
 * period without faults can't hide a fault that begins later. At the allowed rate, the probability that a score is at
 * least `h` at a given observation is at most `exp(-h)`.
 */
import { listAlternativeRates } from "./listAlternativeRates";
import type { TestScores, TrialCount } from "./versionEvidence";

/**
 * Updates the scores with new trials.
 *
 * @param scores - The current scores; empty at the start
 * @param trials - The number of new trials and of bad ones among them
 * @param allowedRate - Rate of bad trials that a good version may have
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
