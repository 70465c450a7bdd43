/**
 * @module Metrics kept in memory.
 */
import { Metric, METRIC_DESCRIPTIONS, MetricKind, type MetricTag } from "../../../base/metrics/metric";
import type { Metrics, MetricTags } from "../../../base/metrics/metrics";

/** Metrics that remember what was reported. */
export interface MetricsRecorder extends Metrics {
    /** Every report as `name value tag=value …`, in order. */
    readonly reports: string[];
}

/**
 * Creates metrics that remember, and that refuse a metric of another kind or a tag that it does not have.
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
        const foreign = entries.filter(([tag]) => !description.tags.includes(tag as MetricTag));
        if (description.kind !== kind || foreign.length > 0) {
            throw new Error(`${metric} is no ${kind} with ${foreign.join(", ")}`);
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
