/**
 * @module Counts and test scores without any trials.
 */
import { Measure, type MeasureCounts, type TestScores } from "./versionEvidence";

/** Counts before any trial. */
export const EMPTY_COUNTS: MeasureCounts = {
    [Measure.Failures]: { trials: 0, bad: 0 },
    [Measure.FirstToken]: { trials: 0, bad: 0 },
    [Measure.TokenGap]: { trials: 0, bad: 0 },
};

/** Test scores before any trial. */
export const EMPTY_SCORES: Readonly<Record<Measure, TestScores>> = {
    [Measure.Failures]: [],
    [Measure.FirstToken]: [],
    [Measure.TokenGap]: [],
};
