/**
 * @module Metrics of finished requests.
 */
import { Metric } from "../../base/metrics/metric";
import type { Metrics } from "../../base/metrics/metrics";
import type { ExchangeSummary } from "../../faces/callerListener";

/**
 * Records the outcome, duration and generated tokens of a finished request.
 *
 * @param metrics - Where to report
 * @param summary - How the request ended
 * @example
 * recordRequest(metrics, summary);
 */
export function recordRequest(metrics: Metrics, summary: ExchangeSummary): void {
    const { className, failure, durationMs, outputTokens } = summary;
    metrics.count(Metric.RequestsFinished, { class: className, outcome: failure?.kind ?? "ok" });
    metrics.recordTime(Metric.AnswerTime, durationMs, { class: className });
    if (outputTokens > 0) {
        metrics.count(Metric.TokensGenerated, { class: className }, outputTokens);
    }
}
