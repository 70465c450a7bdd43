/**
 * @module Computes the score at which a sequential test raises an alarm.
 */
import { TESTS_PER_MOVE, FALSE_ROLLBACK_PROBABILITY } from "./constants";

/**
 * Computes the alarm threshold for the n-th trial of a test. The allowed false alarm probability `p` is distributed
 * over the trials: the n-th gets at most `p / (tests * n * (1 + ln n)^2)`, a series whose sum stays bounded however
 * long the move lasts. Early trials get a larger part, so an immediate fault is detected after two or three failures.
 *
 * @param trials - Number of trials that the test has seen
 * @returns The threshold, as a natural log-likelihood ratio
 * @example
 * computeAlarmThreshold(2); //=> about 9.2
 */
export function computeAlarmThreshold(trials: number): number {
    const count = Math.max(1, trials);
    return Math.log((TESTS_PER_MOVE * count * (1 + Math.log(count)) ** 2) / FALSE_ROLLBACK_PROBABILITY);
}
