/**
 * @module Combines the reports of an attempt into one observation of its version.
 */
import { LRUCache } from "lru-cache";
import { Execution, type Failure, FailureKind } from "../../../base/failure";
import { findLoadLevel } from "../../../decisions/versions/findLoadLevel";
import type { VersionObservation } from "../../../decisions/versions/versionEvidence";
import type { AttemptFacts } from "../../routing/createRoutingTask";
import { type AttemptReport, AttemptReportKind } from "../../routing/routingClient";
import { CONNECTION_LOSS_WINDOW_MS, MAXIMUM_TRACKED_ATTEMPTS } from "../constants";

/** Tracks attempts from their first token to their end. */
export interface AttemptTracker {
    /**
     * Returns an observation for the last report of an attempt; `undefined` for earlier reports and for attempts that
     * are not evidence about the version.
     */
    trackReport(report: AttemptReport, facts: AttemptFacts, nowMs: number): VersionObservation | undefined;
}

interface TrackedAttempt {
    firstTokenMs?: number;
    tokens: number;
}

/** Failures that are not evidence about the version: the caller or this system ended the attempt. */
const NON_EVIDENCE_KINDS: ReadonlySet<FailureKind> = new Set([
    FailureKind.Cancelled,
    FailureKind.CallerGone,
    FailureKind.CallerTooSlow,
    FailureKind.ShuttingDown,
]);

/**
 * Creates a tracker.
 *
 * @param options - `isLeaving`: whether an endpoint is known to be leaving or gone, so that its failures are not
 * attributed to its version
 * @returns The tracker
 * @example
 * const observation = tracker.trackReport(report, facts, clock.readMonotonicMs());
 */
export function createAttemptTracker(options: { readonly isLeaving: (endpointId: string) => boolean }): AttemptTracker {
    const attempts = new LRUCache<string, TrackedAttempt>({ max: MAXIMUM_TRACKED_ATTEMPTS });
    const connectionLossTimes = new LRUCache<string, number>({ max: MAXIMUM_TRACKED_ATTEMPTS });

    const finishAttempt = (report: AttemptReport, facts: AttemptFacts): VersionObservation => {
        const key = buildKey(report);
        const tracked = attempts.get(key) ?? { tokens: 0 };
        attempts.delete(key);
        const tokens = tracked.tokens + report.tokens;
        const { firstTokenMs } = tracked;
        const isFailure = report.kind === AttemptReportKind.Failed;
        const streamedMs = firstTokenMs === undefined ? 0 : report.elapsedMs - firstTokenMs;
        return {
            version: facts.endpoint.version,
            route: facts.route,
            loadLevel: findLoadLevel(facts.endpointRequests),
            isFailure,
            // A service call has no tokens; the time to its complete answer is used instead.
            firstTokenMs: isFailure ? undefined : (firstTokenMs ?? report.elapsedMs),
            tokenGapMs: !isFailure && tokens > 1 && streamedMs > 0 ? streamedMs / (tokens - 1) : undefined,
        };
    };
    const isEvidence = (failure: Failure | undefined, endpointId: string, nowMs: number): boolean => {
        if (failure === undefined || NON_EVIDENCE_KINDS.has(failure.kind) || options.isLeaving(endpointId)) {
            return false;
        }
        if (failure.execution === Execution.NotRun) {
            return false;
        }
        if (failure.details?.["status"] !== undefined) {
            return true;
        }
        const lastLossMs = connectionLossTimes.get(endpointId);
        connectionLossTimes.set(endpointId, nowMs);
        return lastLossMs === undefined || nowMs - lastLossMs >= CONNECTION_LOSS_WINDOW_MS;
    };
    const handlers: Readonly<
        Record<
            AttemptReportKind,
            (report: AttemptReport, facts: AttemptFacts, nowMs: number) => VersionObservation | undefined
        >
    > = {
        [AttemptReportKind.FirstToken]: report => {
            attempts.set(buildKey(report), { firstTokenMs: report.elapsedMs, tokens: report.tokens });
            return undefined;
        },
        [AttemptReportKind.Tokens]: report => {
            const tracked = attempts.get(buildKey(report));
            if (tracked !== undefined) {
                tracked.tokens += report.tokens;
            }
            return undefined;
        },
        [AttemptReportKind.Finished]: (report, facts) => finishAttempt(report, facts),
        [AttemptReportKind.Failed]: (report, facts, nowMs) => {
            const observation = finishAttempt(report, facts);
            return isEvidence(report.failure, report.endpointId, nowMs) ? observation : undefined;
        },
        [AttemptReportKind.Cancelled]: report => {
            attempts.delete(buildKey(report));
            return undefined;
        },
    };
    return { trackReport: (report, facts, nowMs) => handlers[report.kind](report, facts, nowMs) };
}

function buildKey(report: AttemptReport): string {
    return `${report.id.requestId}.${report.id.attempt}`;
}
