/**
 * @module Runs the timed actions of a chat request.
 */
import { createFailure } from "../../../base/createFailure";
import { Execution, FailureKind } from "../../../base/failure";
import { Metric } from "../../../base/metrics/metric";
import { HEDGE_RESERVE } from "../../../decisions/outcomes/constants";
import { decideHedge } from "../../../decisions/outcomes/decideHedge";
import {
    ALIVE_ENDPOINT_TIMEOUT_FACTOR,
    FIRST_TOKEN_TIMEOUT_FACTOR,
    GONE_ENDPOINT_IDLE_TIMEOUT_MS,
    PROBE_DELAY_FRACTION,
    STREAM_IDLE_TIMEOUT_MS,
    WAKE_TOLERANCE_MS,
} from "../constants";
import { hasRetryBudget } from "./hasRetryBudget";
import { AttemptPurpose, type ChatRun, ControlKind, type LiveAttempt, ProbeState } from "./chatRun";
import { failRun } from "./failRun";
import { requestRoute } from "./requestRoute";
import { retryAfterBackoff, retryRun } from "./retryRun";
import { sendControl } from "./sendControl";
import { startPlannedMove } from "./startPlannedMove";

interface DueAction {
    readonly atMs: number;
    readonly run: () => void;
}

/**
 * Runs all actions that are due and sets a timer for the next one.
 *
 * @param run - The request
 * @example
 * runDueActions(run);
 */
export function runDueActions(run: ChatRun): void {
    const { clock } = run.shared.dependencies;
    for (;;) {
        const nowMs = clock.readMonotonicMs();
        const actions = run.end === undefined ? listTimedActions(run) : [];
        const due = actions.find(action => action.atMs <= nowMs);
        if (due === undefined) {
            scheduleWake(run, Math.min(...actions.map(action => action.atMs)));
            return;
        }
        due.run();
    }
}

function listTimedActions(run: ChatRun): readonly DueAction[] {
    const actions: DueAction[] = [{ atMs: run.context.deadlineAtMs, run: () => failAtDeadline(run) }];
    if (run.retryAtMs !== undefined) {
        actions.push({ atMs: run.retryAtMs, run: () => retryAfterBackoff(run) });
    }
    if (run.plannedMove !== undefined) {
        actions.push({ atMs: run.plannedMove.startAtMs, run: () => startPlannedMove(run) });
    }
    if (run.pendingCacheMove !== undefined && run.live.size === 0) {
        actions.push({ atMs: run.pendingCacheMove.timeoutAtMs, run: () => abandonCacheMove(run) });
    }
    for (const attempt of run.live.values()) {
        actions.push(...listAttemptActions(run, attempt));
    }
    return actions;
}

function listAttemptActions(run: ChatRun, attempt: LiveAttempt): readonly DueAction[] {
    if (run.isReaderSlow) {
        return [];
    }
    const timeoutMs = computeIdleTimeoutMs(attempt);
    const actions: DueAction[] = [
        { atMs: attempt.lastEventAtMs + timeoutMs, run: () => endSilentAttempt(run, attempt, timeoutMs) },
    ];
    if (attempt.probe === ProbeState.None) {
        actions.push({
            atMs: attempt.lastEventAtMs + timeoutMs * PROBE_DELAY_FRACTION,
            run: () => startProbe(run, attempt),
        });
    }
    const hedgeAtMs =
        run.deliveredTexts.length === 0 && run.routing === undefined ? computeHedgeAtMs(run, attempt) : undefined;
    if (hedgeAtMs !== undefined) {
        actions.push({
            atMs: hedgeAtMs,
            run: () => {
                run.hasHedge = true;
                requestRoute(run, AttemptPurpose.Hedge);
            },
        });
    }
    return actions;
}

function computeIdleTimeoutMs(attempt: LiveAttempt): number {
    if (attempt.goneAtMs !== undefined && attempt.goneAtMs <= attempt.lastEventAtMs) {
        return GONE_ENDPOINT_IDLE_TIMEOUT_MS;
    }
    if (attempt.firstTokenAtMs !== undefined) {
        return STREAM_IDLE_TIMEOUT_MS;
    }
    const timeoutMs = Math.max(STREAM_IDLE_TIMEOUT_MS, attempt.estimatedFirstTokenMs * FIRST_TOKEN_TIMEOUT_FACTOR);
    return attempt.probe === ProbeState.Alive ? timeoutMs * ALIVE_ENDPOINT_TIMEOUT_FACTOR : timeoutMs;
}

function computeHedgeAtMs(run: ChatRun, attempt: LiveAttempt): number | undefined {
    if (!hasRetryBudget(run.shared, run.context.className, run.chat.model, 1, HEDGE_RESERVE)) {
        return undefined;
    }
    return decideHedge({
        isIdempotent: run.context.isIdempotent,
        hasHedge: run.hasHedge,
        sentAtMs: attempt.sentAtMs,
        estimatedFirstTokenMs: attempt.estimatedFirstTokenMs,
        firstTokenDueAtMs: run.context.firstTokenDueAtMs,
    });
}

/** Probes the endpoint on a new connection: a dead connection alone must not exclude an endpoint that is alive. */
function startProbe(run: ChatRun, attempt: LiveAttempt): void {
    attempt.probe = ProbeState.Running;
    void run.shared.dependencies.models
        .probeRunner(attempt.endpoint)
        .then(probed =>
            sendControl(run, { kind: ControlKind.Probed, attempt: attempt.id.attempt, isAlive: probed.isOk() }),
        );
}

function endSilentAttempt(run: ChatRun, attempt: LiveAttempt, timeoutMs: number): void {
    const { counts, dependencies } = run.shared;
    counts.silentConnections++;
    dependencies.metrics?.count(Metric.SilentConnections, { service: run.chat.model });
    const execution = attempt.generation.hasSentBytes() ? Execution.Unknown : Execution.NotRun;
    const message = `The runner sent nothing for ${Math.round(timeoutMs)} ms.`;
    retryRun(run, attempt, createFailure(FailureKind.EndpointSilent, message, { execution }));
}

function abandonCacheMove(run: ChatRun): void {
    run.pendingCacheMove = undefined;
    requestRoute(run, AttemptPurpose.Move);
}

function failAtDeadline(run: ChatRun): void {
    const message = "The answer was not complete by its deadline.";
    failRun(run, createFailure(FailureKind.DeadlineExceeded, message, { details: { cause: run.lastFailure?.kind } }));
}

function scheduleWake(run: ChatRun, atMs: number): void {
    const isSet = run.wakeAtMs !== undefined && run.wakeAtMs <= atMs + WAKE_TOLERANCE_MS;
    if (isSet || !Number.isFinite(atMs)) {
        return;
    }
    run.wakeAtMs = atMs;
    const { clock } = run.shared.dependencies;
    void clock.waitMs(atMs - clock.readMonotonicMs()).then(() => sendControl(run, { kind: ControlKind.Wake, atMs }));
}
