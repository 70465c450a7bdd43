/**
 * @module What was measured, as kept in `figures.json`.
 */

/** One measured figure. */
export interface Figure {
    /** What it is, for the page. */
    readonly what: string;
    readonly unit: string;
    /** The slope if points are given, else the mean. */
    readonly value: number;
    /** Standard error of `value`. Absent for counts that a seed makes exact. */
    readonly standardError?: number;
    /** Where the fitted line begins, and its standard error. */
    readonly fixed?: number;
    readonly fixedError?: number;
    /** What was varied and what came of it. */
    readonly points?: readonly Point[];
    /** Name of the group of measurements, as for `--only`. */
    readonly group: string;
    /** One-minute load of the machine after the measurement. */
    readonly machineLoad: number;
}

/** One measured point: what was varied, and the outcome. */
export type Point = readonly [number, number];

/** A figure before its group and the load are added. */
export type NewFigure = Omit<Figure, "group" | "machineLoad">;

/** All figures by name. */
export type Figures = Readonly<Record<string, Figure>>;
