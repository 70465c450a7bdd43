/**
 * @module The score at which a sequential test raises its alarm.
 */
import { TESTS_PER_MOVE, FALSE_ROLLBACK_PROBABILITY } from "./constants";

/**
 * Computes the alarm score for the n-th trial of a test. The allowed share of false alarms is spent over the trials: at
 * most `share / (tests * n * (1 + ln n)^2)` at the n-th, a series whose sum stays bounded however long the move lasts.
 * Early trials may spend more, so an immediate fault is seen after two or three failures.
 *
 * @param trials - How many trials the test has seen
 * @returns The score, in natural units of log-likelihood
 * @example
 * computeAlarmScore(2); // about 9.2
 */
export function computeAlarmThreshold(trials: number): number {
    const count = Math.max(1, trials);
    return Math.log((TESTS_PER_MOVE * count * (1 + Math.log(count)) ** 2) / FALSE_ROLLBACK_PROBABILITY);
}
