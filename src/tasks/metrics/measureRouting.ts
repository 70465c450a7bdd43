/**
 * @module Measures routing and attempts.
 */
import { LRUCache } from "lru-cache";
import type { Clock } from "../../base/clock";
import { Metric } from "../../base/metrics/metric";
import type { Metrics } from "../../base/metrics/metrics";
import type { AttemptId } from "../../model/request";
import {
    type AttemptReport,
    AttemptReportKind,
    type Route,
    type RouteQuery,
    type RoutingClient,
} from "../routing/routingClient";

/** More attempts at once than one node has; the oldest are no longer measured beyond it. */
const MOST_ATTEMPTS = 20_000;

interface MeasuredAttempt {
    readonly query: RouteQuery;
    readonly route: Route;
    readonly firstTokenAtMs?: number;
    readonly tokens: number;
}

interface Measuring {
    readonly metrics: Metrics;
    readonly clock: Clock;
    readonly attempts: LRUCache<string, MeasuredAttempt>;
    /** Requests whose first token was measured; a later attempt of the same request has no first token of its own. */
    readonly answered: LRUCache<string, true>;
}

type ReportHandler = (measuring: Measuring, attempt: MeasuredAttempt, report: AttemptReport) => void;

const REPORT_HANDLERS: Readonly<Record<AttemptReportKind, ReportHandler>> = {
    [AttemptReportKind.FirstToken]: measureFirstToken,
    [AttemptReportKind.Tokens]: addTokens,
    [AttemptReportKind.Finished]: measureEnd,
    [AttemptReportKind.Failed]: measureEnd,
    [AttemptReportKind.Cancelled]: measureEnd,
};

/**
 * Puts measurements around routing: attempts by how they ended, the time to the first token of a request, how far the
 * estimate was off, and the mean time between tokens.
 *
 * @param routing - The routing task's handle
 * @param metrics - Where to report
 * @param clock - The clock that requests were accepted by
 * @returns The measured handle
 * @example
 * const routing = measureRouting(createRoutingTask(...), metrics, clock);
 */
export function measureRouting(routing: RoutingClient, metrics: Metrics, clock: Clock): RoutingClient {
    const measuring: Measuring = {
        metrics,
        clock,
        attempts: new LRUCache({ max: MOST_ATTEMPTS }),
        answered: new LRUCache({ max: MOST_ATTEMPTS }),
    };
    return {
        chooseEndpoint: async query => {
            const result = await routing.chooseEndpoint(query);
            if (result.isOk()) {
                measuring.attempts.set(toKey(query.id), { query, route: result.value, tokens: 0 });
            }
            return result;
        },
        recordReport: report => {
            const attempt = measuring.attempts.get(toKey(report.id));
            if (attempt !== undefined) {
                REPORT_HANDLERS[report.kind](measuring, attempt, report);
            }
            routing.recordReport(report);
        },
        watchEndpoint: endpointId => routing.watchEndpoint(endpointId),
    };
}

function measureFirstToken(measuring: Measuring, attempt: MeasuredAttempt, report: AttemptReport): void {
    const { metrics, clock, answered } = measuring;
    const { context, serviceName } = attempt.query;
    const nowMs = clock.readMonotonicMs();
    if (!answered.has(context.requestId)) {
        answered.set(context.requestId, true);
        metrics.recordTime(Metric.FirstTokenTime, nowMs - context.acceptedAtMs, { class: context.className });
    }
    const errorMs = Math.abs(report.elapsedMs - attempt.route.estimatedFirstTokenMs);
    metrics.recordTime(Metric.EstimateError, errorMs, { service: serviceName });
    measuring.attempts.set(toKey(report.id), { ...attempt, firstTokenAtMs: nowMs, tokens: report.tokens });
}

function addTokens(measuring: Measuring, attempt: MeasuredAttempt, report: AttemptReport): void {
    measuring.attempts.set(toKey(report.id), { ...attempt, tokens: attempt.tokens + report.tokens });
}

function measureEnd(measuring: Measuring, attempt: MeasuredAttempt, report: AttemptReport): void {
    const { metrics, clock, attempts } = measuring;
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
