/**
 * @module Figures from points and from repeated measurements.
 */
import jStat from "jstat";
import type { NewFigure, Point } from "./figures";

/** What a figure is. */
export interface FigureLabel {
    readonly what: string;
    readonly unit: string;
}

/**
 * Fits a line through points by least squares.
 *
 * @param label - What the slope is
 * @param points - At least three points
 * @returns Slope and fixed part with their standard errors
 * @example
 * fitFigure({ what: "memory for each member", unit: "bytes" }, [[25, 9_000], [50, 18_100], [100, 36_000]]);
 */
export function fitFigure(label: FigureLabel, points: readonly Point[]): NewFigure {
    const fit = jStat.models.ols(
        points.map(([, y]) => y),
        points.map(([x]) => [1, x]),
    );
    const [fixed = Number.NaN, value = Number.NaN] = fit.coef;
    const [fixedError = Number.NaN, standardError = Number.NaN] = fit.t.se;
    return { ...label, value, standardError, fixed, fixedError, points };
}

/**
 * Takes the mean of repeated measurements.
 *
 * @param label - What was measured
 * @param values - At least two values
 * @returns Mean with its standard error
 * @example
 * fitMean({ what: "a log line", unit: "µs" }, [24, 26, 25]);
 */
export function fitMean(label: FigureLabel, values: readonly number[]): NewFigure {
    const standardError = jStat.stdev(values, true) / Math.sqrt(values.length);
    return { ...label, value: jStat.mean(values), standardError };
}
