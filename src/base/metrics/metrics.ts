/**
 * @module The interface by which components record metrics.
 */
import type { Disposable } from "../disposableStore";
import type { Metric, MetricTag } from "./metric";

/** Values of tags. Tags that are not declared for the metric are ignored. */
export type MetricTags = Readonly<Partial<Record<MetricTag, string>>>;

/** A recorder of metrics. No call blocks or fails. */
export interface Metrics extends Disposable {
    /** Adds to a counter. */
    count(metric: Metric, tags?: MetricTags, by?: number): void;
    /** Sets a gauge. */
    setGauge(metric: Metric, value: number, tags?: MetricTags): void;
    /** Records a duration in milliseconds. */
    recordTime(metric: Metric, milliseconds: number, tags?: MetricTags): void;
}
