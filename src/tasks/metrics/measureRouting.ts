/**
 * @module Metrics of routing and attempts.
 */
import { LRUCache } from "lru-cache";
import type { Clock } from "../../base/clock";
import { Metric } from "../../base/metrics/metric";
import type { Metrics } from "../../base/metrics/metrics";
import type { AttemptId } from "../../model/request";
import {
    type AttemptReport,
    AttemptReportKind,
    type RouteDecision,
    type RouteQuery,
    type RoutingClient,
} from "../routing/routingClient";

/** Exceeds the attempts of one node at a time. Beyond it, the least recently used are no longer measured. */
const MAXIMUM_MEASURED_ATTEMPTS = 20_000;

interface MeasuredAttempt {
    readonly query: RouteQuery;
    readonly route: RouteDecision;
    readonly firstTokenAtMs?: number;
    readonly tokens: number;
}

interface MeasurementState {
    readonly metrics: Metrics;
    readonly clock: Clock;
    readonly attempts: LRUCache<string, MeasuredAttempt>;
    /** Requests whose time to first token was recorded; later attempts of the same request do not record it again. */
    readonly answered: LRUCache<string, true>;
}

type ReportHandler = (measurement: MeasurementState, attempt: MeasuredAttempt, report: AttemptReport) => void;

const REPORT_HANDLERS: Readonly<Record<AttemptReportKind, ReportHandler>> = {
    [AttemptReportKind.FirstToken]: measureFirstToken,
    [AttemptReportKind.Tokens]: addTokens,
    [AttemptReportKind.Finished]: measureEnd,
    [AttemptReportKind.Failed]: measureEnd,
    [AttemptReportKind.Cancelled]: measureEnd,
};

/**
 * Wraps routing to measure attempts by outcome, the time to the first token of each request, the error of its estimate,
 * and the mean time between tokens.
 *
 * @param routing - The routing client
 * @param metrics - Where to report
 * @param clock - The clock of the requests' acceptance times
 * @returns The wrapped client
 * @example
 * const routing = measureRouting(createRoutingTask(...), metrics, clock);
 */
export function measureRouting(routing: RoutingClient, metrics: Metrics, clock: Clock): RoutingClient {
    const measurement: MeasurementState = {
        metrics,
        clock,
        attempts: new LRUCache({ max: MAXIMUM_MEASURED_ATTEMPTS }),
        answered: new LRUCache({ max: MAXIMUM_MEASURED_ATTEMPTS }),
    };
    return {
        chooseEndpoint: async query => {
            const result = await routing.chooseEndpoint(query);
            if (result.isOk()) {
                measurement.attempts.set(toKey(query.id), { query, route: result.value, tokens: 0 });
            }
            return result;
        },
        recordReport: report => {
            const attempt = measurement.attempts.get(toKey(report.id));
            if (attempt !== undefined) {
                REPORT_HANDLERS[report.kind](measurement, attempt, report);
            }
            routing.recordReport(report);
        },
        watchEndpoint: endpointId => routing.watchEndpoint(endpointId),
    };
}

function measureFirstToken(measurement: MeasurementState, attempt: MeasuredAttempt, report: AttemptReport): void {
    const { metrics, clock, answered } = measurement;
    const { context, serviceName } = attempt.query;
    const nowMs = clock.readMonotonicMs();
    if (!answered.has(context.requestId)) {
        answered.set(context.requestId, true);
        metrics.recordTime(Metric.FirstTokenTime, nowMs - context.acceptedAtMs, { class: context.className });
    }
    const errorMs = Math.abs(report.elapsedMs - attempt.route.estimatedFirstTokenMs);
    metrics.recordTime(Metric.EstimateError, errorMs, { service: serviceName });
    measurement.attempts.set(toKey(report.id), { ...attempt, firstTokenAtMs: nowMs, tokens: report.tokens });
}

function addTokens(measurement: MeasurementState, attempt: MeasuredAttempt, report: AttemptReport): void {
    measurement.attempts.set(toKey(report.id), { ...attempt, tokens: attempt.tokens + report.tokens });
}

function measureEnd(measurement: MeasurementState, attempt: MeasuredAttempt, report: AttemptReport): void {
    const { metrics, clock, attempts } = measurement;
    const { serviceName, context } = attempt.query;
    const { version } = attempt.route.endpoint;
    const outcome = report.failure?.kind ?? report.kind;
    metrics.count(Metric.Attempts, { service: serviceName, version, outcome });
    const gaps = attempt.tokens + report.tokens - 1;
    if (attempt.firstTokenAtMs !== undefined && report.kind === AttemptReportKind.Finished && gaps > 0) {
        const gapMs = (clock.readMonotonicMs() - attempt.firstTokenAtMs) / gaps;
        metrics.recordTime(Metric.TokenGap, gapMs, { class: context.className });
    }
    attempts.delete(toKey(report.id));
}

function toKey(id: AttemptId): string {
    return `${id.requestId}/${id.attempt}`;
}
