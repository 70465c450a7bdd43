/**
 * @module What a report shows: targets with their figures, plots and tables.
 */

/** A target of the project with what was measured. */
export interface ReportTarget {
    readonly name: string;
    /** The measured figure, with its unit. */
    readonly figure: string;
    /** What the figure must be, with its unit. */
    readonly target: string;
    /** Whether the target was met; undefined if it was not measured. */
    readonly holds: boolean | undefined;
}

/** How a series is drawn. */
export enum SeriesStyle {
    Bar = "bar",
    Line = "line",
    /** Points only, as for targets over bars. */
    Point = "scatter",
}

/** One series of a plot: a value for each category. */
export interface ReportSeries {
    readonly name: string;
    readonly style: SeriesStyle;
    /** Values in the unit of the plot; undefined where there is none. */
    readonly values: readonly (number | undefined)[];
}

/** A plot over categories. */
export interface ReportPlot {
    readonly title: string;
    readonly unit: string;
    readonly isLogarithmic?: boolean;
    readonly categories: readonly string[];
    readonly series: readonly ReportSeries[];
    /** Vertical lines at categories, as for the moment of a fault. */
    readonly marks?: readonly { readonly category: string; readonly label: string }[];
}

/** A table of texts. */
export interface ReportTable {
    readonly head: readonly string[];
    readonly rows: readonly (readonly string[])[];
}

/** One part of a report. */
export interface ReportSection {
    readonly title: string;
    /** What was measured and how, in plain sentences. */
    readonly text: string;
    readonly targets: readonly ReportTarget[];
    readonly plots: readonly ReportPlot[];
    readonly tables: readonly ReportTable[];
}
