/**
 * @module Test double that records metrics in memory.
 */
import { Metric, METRIC_DESCRIPTIONS, MetricKind, type MetricTag } from "../../../base/metrics/metric";
import type { Metrics, MetricTags } from "../../../base/metrics/metrics";

/** Metrics that record every report. */
export interface MetricsRecorder extends Metrics {
    /** All reports in order, each as `name value tag=value …`. */
    readonly reports: string[];
}

/**
 * Creates metrics that record every report and throw if a metric is used with the wrong kind or with an unknown tag.
 *
 * @returns The recorder
 * @example
 * const metrics = createMetricsRecorder();
 */
export function createMetricsRecorder(): MetricsRecorder {
    const reports: string[] = [];
    const record = (kind: MetricKind, metric: Metric, value: number, tags: MetricTags = {}) => {
        const description = METRIC_DESCRIPTIONS[metric];
        const entries = Object.entries(tags).filter(([, text]) => text !== undefined);
        const unknown = entries.filter(([tag]) => !description.tags.includes(tag as MetricTag));
        if (description.kind !== kind || unknown.length > 0) {
            throw new Error(`${metric}: wrong kind ${kind} or unknown tags ${unknown.join(", ")}`);
        }
        reports.push([metric, value, ...entries.map(([tag, text]) => `${tag}=${text}`)].join(" "));
    };
    return {
        reports,
        count: (metric, tags, by = 1) => record(MetricKind.Counter, metric, by, tags),
        setGauge: (metric, value, tags) => record(MetricKind.Gauge, metric, value, tags),
        recordTime: (metric, milliseconds, tags) => record(MetricKind.Timing, metric, milliseconds, tags),
        dispose: () => undefined,
    };
}
