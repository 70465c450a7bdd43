/**
 * @module Recording reports about attempts.
 */
import { type Failure, FailureKind } from "../../base/failure";
import { VmRole } from "../../model/endpoint";
import { type AttemptReport, AttemptReportKind } from "../../tasks/routing/routingClient";
import { endTrial } from "./_lib/trial";
import { buildAttemptKey } from "./buildAttemptKey";
import { BIAS_LIMIT_MS, ERROR_QUANTILE, ERROR_STEP_MS, REFUSED_BIAS_MS } from "./constants";
import { recordAttemptEnded } from "./recordAttemptEnded";
import { recordFailure, Removal } from "./recordFailure";
import { recordFirstToken } from "./recordFirstToken";
import { recordSuccess } from "./recordSuccess";
import type { AttemptState, RoutingState, ServiceState } from "./routingState";

type Handler = (state: RoutingState, attempt: AttemptState, report: AttemptReport, nowMs: number) => void;

const HANDLERS: Readonly<Record<AttemptReportKind, Handler>> = {
    [AttemptReportKind.FirstToken]: (state, attempt, report) => recordFirstOutput(attempt, report.elapsedMs),
    [AttemptReportKind.Tokens]: () => undefined,
    [AttemptReportKind.Finished]: (state, attempt, report, nowMs) => {
        if (attempt.candidate.endpoint.role === VmRole.ApplicationRunner) {
            recordFirstOutput(attempt, report.elapsedMs);
        }
        recordSuccess(attempt.candidate, attempt.route, nowMs);
        endAttempt(state, attempt, report, report.elapsedMs);
    },
    [AttemptReportKind.Failed]: (state, attempt, report, nowMs) => {
        applyFailure(state, attempt, report.failure, nowMs);
        endAttempt(state, attempt, report);
    },
    [AttemptReportKind.Cancelled]: (state, attempt, report) => endAttempt(state, attempt, report),
};

/**
 * Records a report about an attempt. Reports about unknown attempts, for example duplicates, are ignored.
 *
 * @param state - The state; changed in place
 * @param report - The report
 * @param nowMs - Now, in monotonic milliseconds
 * @returns The attempt, if it is known
 * @example
 * recordAttemptReport(state, report, clock.readMonotonicMs());
 */
export function recordAttemptReport(
    state: RoutingState,
    report: AttemptReport,
    nowMs: number,
): AttemptState | undefined {
    const attempt = state.attempts.get(buildAttemptKey(report.id));
    if (attempt !== undefined) {
        HANDLERS[report.kind](state, attempt, report, nowMs);
    }
    return attempt;
}

function recordFirstOutput(attempt: AttemptState, elapsedMs: number): void {
    if (attempt.hasFirstToken) {
        return;
    }
    attempt.hasFirstToken = true;
    recordFirstToken(attempt.candidate, attempt, elapsedMs);
    attempt.prefillTokens = 0;
    updateEstimateError(attempt.service, elapsedMs - attempt.estimateMs);
}

/** Moves the estimate error one gradient step towards the `ERROR_QUANTILE` of the observed errors. */
function updateEstimateError(service: ServiceState, errorMs: number): void {
    const gradient = errorMs > service.estimateErrorMs ? ERROR_QUANTILE : ERROR_QUANTILE - 1;
    service.estimateErrorMs = Math.min(BIAS_LIMIT_MS, Math.max(0, service.estimateErrorMs + ERROR_STEP_MS * gradient));
}

function applyFailure(state: RoutingState, attempt: AttemptState, failure: Failure | undefined, nowMs: number): void {
    const { candidate, service, route } = attempt;
    if (failure?.kind === FailureKind.EndpointRefused) {
        candidate.biasMs = Math.min(BIAS_LIMIT_MS, candidate.biasMs + REFUSED_BIAS_MS);
    }
    if (failure?.kind !== FailureKind.EndpointFailed && failure?.kind !== FailureKind.EndpointSilent) {
        return;
    }
    const removal = recordFailure(candidate, route, service.candidates, nowMs);
    state.counters.removedEndpoints += removal === Removal.Endpoint ? 1 : 0;
    state.counters.removedRoutes += removal === Removal.Route ? 1 : 0;
}

function endAttempt(state: RoutingState, attempt: AttemptState, report: AttemptReport, durationMs?: number): void {
    state.attempts.delete(buildAttemptKey(report.id));
    attempt.service.inFlight--;
    if (attempt.isTrial) {
        endTrial(attempt.candidate, attempt.route);
    }
    recordAttemptEnded(attempt.candidate, { prefillTokens: attempt.prefillTokens, durationMs });
}
