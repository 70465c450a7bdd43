/**
 * @module The rate of bad trials that a new version is allowed, given the old one's.
 */
import { ALLOWED_FAILURE_RATE, ALLOWED_SLOW_RATE } from "./constants";
import { Measure, type TrialCount } from "./versionEvidence";

const NORMAL_95TH = 1.96;
const HIGHEST_ALLOWED_RATE = 0.9;

const FLOORS: Readonly<Record<Measure, number>> = {
    [Measure.Failures]: ALLOWED_FAILURE_RATE,
    [Measure.FirstToken]: ALLOWED_SLOW_RATE,
    [Measure.TokenGap]: ALLOWED_SLOW_RATE,
};

/**
 * Computes the allowed rate: the upper end of the old version's 95% interval (Wilson), and no less than the floor of the
 * measure. What hits both versions, such as a loaded region, is thus not held against the new one.
 *
 * @param measure - What is compared
 * @param old - The old version's counts in the same cell
 * @returns A rate from the floor to 0.9
 * @example
 * computeAllowedRate(Measure.Failures, { trials: 1000, bad: 0 }); //=> 0.005
 */
export function computeAllowedRate(measure: Measure, old: TrialCount): number {
    return Math.min(HIGHEST_ALLOWED_RATE, Math.max(FLOORS[measure], computeUpperBound(old)));
}

function computeUpperBound({ trials, bad }: TrialCount): number {
    if (trials === 0 || bad === 0) {
        return 0;
    }
    const rate = bad / trials;
    const square = NORMAL_95TH ** 2;
    const centre = rate + square / (2 * trials);
    const spread = NORMAL_95TH * Math.sqrt((rate * (1 - rate)) / trials + square / (4 * trials ** 2));
    return (centre + spread) / (1 + square / trials);
}
