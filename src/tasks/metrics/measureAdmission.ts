/**
 * @module Metrics of admission.
 */
import type { Clock } from "../../base/clock";
import { Metric } from "../../base/metrics/metric";
import type { Metrics } from "../../base/metrics/metrics";
import type { AdmissionClient } from "../admission/admissionClient";

/**
 * Wraps admission to measure how many requests wait, how long admitted requests have waited, and why others were
 * refused.
 *
 * @param admission - The admission client
 * @param metrics - Where to report
 * @param clock - The clock that measures the waits
 * @returns The wrapped client
 * @example
 * const admission = measureAdmission(createAdmissionTask(...), metrics, clock);
 */
export function measureAdmission(admission: AdmissionClient, metrics: Metrics, clock: Clock): AdmissionClient {
    const waiting = new Map<string, number>();
    const addWaiting = (className: string, by: number) => {
        const count = (waiting.get(className) ?? 0) + by;
        waiting.set(className, count);
        metrics.setGauge(Metric.AdmissionWaiting, count, { class: className });
    };
    return {
        requestAdmission: async request => {
            const { className } = request.context;
            const startedMs = clock.readMonotonicMs();
            addWaiting(className, 1);
            const result = await admission.requestAdmission(request);
            addWaiting(className, -1);
            if (result.isOk()) {
                metrics.recordTime(Metric.AdmissionWait, clock.readMonotonicMs() - startedMs, { class: className });
            } else {
                metrics.count(Metric.AdmissionRefused, { class: className, outcome: result.error.kind });
            }
            return result;
        },
        cancelAdmission: requestId => admission.cancelAdmission(requestId),
        finishRequest: (requestId, usedTokens) => admission.finishRequest(requestId, usedTokens),
    };
}
