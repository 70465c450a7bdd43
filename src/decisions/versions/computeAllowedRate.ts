/**
 * @module Computes the rate of bad trials that a new version may have, from the old version's rate.
 */
import { ALLOWED_FAILURE_RATE, ALLOWED_SLOW_RATE } from "./constants";
import { Measure, type TrialCount } from "./versionEvidence";

/** Quantile of the standard normal distribution for a two-sided 95% interval. */
const NORMAL_QUANTILE = 1.96;
const MAXIMUM_ALLOWED_RATE = 0.9;

/** Rates that any version may have, whatever the old one's. */
const FLOORS: Readonly<Record<Measure, number>> = {
    [Measure.Failures]: ALLOWED_FAILURE_RATE,
    [Measure.FirstToken]: ALLOWED_SLOW_RATE,
    [Measure.TokenGap]: ALLOWED_SLOW_RATE,
};

/**
 * Computes the allowed rate: the upper bound of the Wilson 95% interval of the old version's rate, but at least the
 * floor of the measure. Problems that affect both versions, such as an overloaded region, thus do not count against the
 * new one.
 *
 * @param measure - The measure to compare
 * @param old - The old version's counts in the same cell
 * @returns A rate between the floor and 0.9
 * @example
 * computeAllowedRate(Measure.Failures, { trials: 1000, bad: 0 }); //=> 0.005
 */
export function computeAllowedRate(measure: Measure, old: TrialCount): number {
    return Math.min(MAXIMUM_ALLOWED_RATE, Math.max(FLOORS[measure], computeUpperBound(old)));
}

function computeUpperBound({ trials, bad }: TrialCount): number {
    if (trials === 0 || bad === 0) {
        return 0;
    }
    const rate = bad / trials;
    const square = NORMAL_QUANTILE ** 2;
    const centre = rate + square / (2 * trials);
    const spread = NORMAL_QUANTILE * Math.sqrt((rate * (1 - rate)) / trials + square / (4 * trials ** 2));
    return (centre + spread) / (1 + square / trials);
}
