/**
 * @module Counts and scores before any trial.
 */
import { Measure, type MeasureCounts, type TestScores } from "./versionEvidence";

/** Counts of nothing. */
export const EMPTY_COUNTS: MeasureCounts = {
    [Measure.Failures]: { trials: 0, bad: 0 },
    [Measure.FirstToken]: { trials: 0, bad: 0 },
    [Measure.TokenGap]: { trials: 0, bad: 0 },
};

/** Scores before any trial. */
export const EMPTY_SCORES: Readonly<Record<Measure, TestScores>> = {
    [Measure.Failures]: [],
    [Measure.FirstToken]: [],
    [Measure.TokenGap]: [],
};
