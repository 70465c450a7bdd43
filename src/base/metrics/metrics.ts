/**
 * @module How tasks report metrics.
 */
import type { Disposable } from "../disposableStore";
import type { Metric, MetricTag } from "./metric";

/** Values of tags. Tags that the metric does not have are left out. */
export type MetricTags = Readonly<Partial<Record<MetricTag, string>>>;

/** Where metrics go. No call waits or fails. */
export interface Metrics extends Disposable {
    /** Adds to a counter. */
    count(metric: Metric, tags?: MetricTags, by?: number): void;
    /** Sets a gauge. */
    setGauge(metric: Metric, value: number, tags?: MetricTags): void;
    /** Records a duration in milliseconds. */
    recordTime(metric: Metric, milliseconds: number, tags?: MetricTags): void;
}
