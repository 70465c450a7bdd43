/**
 * @module Everything that a chat request does because a time has come.
 */
import { createFailure } from "../../../base/createFailure";
import { Execution, FailureKind } from "../../../base/failure";
import { Metric } from "../../../base/metrics/metric";
import { HEDGE_RESERVE } from "../../../decisions/outcomes/constants";
import { decideHedge } from "../../../decisions/outcomes/decideHedge";
import {
    ALIVE_SILENCE_FACTOR,
    FIRST_TOKEN_SILENCE_FACTOR,
    GONE_SILENCE_MS,
    PROBE_SHARE,
    STREAM_SILENCE_MS,
    WAKE_TOLERANCE_MS,
} from "../constants";
import { isBudgetLeft } from "./isBudgetLeft";
import { AttemptPurpose, type ChatRun, ControlKind, type LiveAttempt, ProbeState } from "./chatRun";
import { failRun } from "./failRun";
import { requestRoute } from "./requestRoute";
import { retryAfterPause, retryRun } from "./retryRun";
import { sendControl } from "./sendControl";
import { startPlannedMove } from "./startPlannedMove";

interface DueAction {
    readonly atMs: number;
    readonly run: () => void;
}

/**
 * Does what is due and sets the next wake-up.
 *
 * @param run - The request
 * @example
 * runTimers(run);
 */
export function runTimers(run: ChatRun): void {
    const { clock } = run.shared.parts;
    for (;;) {
        const nowMs = clock.readMonotonicMs();
        const actions = run.end === undefined ? listActions(run) : [];
        const due = actions.find(action => action.atMs <= nowMs);
        if (due === undefined) {
            setWake(run, Math.min(...actions.map(action => action.atMs)));
            return;
        }
        due.run();
    }
}

function listActions(run: ChatRun): readonly DueAction[] {
    const actions: DueAction[] = [{ atMs: run.context.deadlineAtMs, run: () => failLate(run) }];
    if (run.retryAtMs !== undefined) {
        actions.push({ atMs: run.retryAtMs, run: () => retryAfterPause(run) });
    }
    if (run.plannedMove !== undefined) {
        actions.push({ atMs: run.plannedMove.startAtMs, run: () => startPlannedMove(run) });
    }
    if (run.cacheMove !== undefined && run.live.size === 0) {
        actions.push({ atMs: run.cacheMove.untilMs, run: () => endCacheMove(run) });
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
    const boundMs = computeSilenceBoundMs(attempt);
    const actions: DueAction[] = [
        { atMs: attempt.lastEventAtMs + boundMs, run: () => endSilentAttempt(run, attempt, boundMs) },
    ];
    if (attempt.probe === ProbeState.None) {
        actions.push({
            atMs: attempt.lastEventAtMs + boundMs * PROBE_SHARE,
            run: () => startProbe(run, attempt),
        });
    }
    const hedgeAtMs = run.delivered.length === 0 && run.routing === undefined ? computeHedge(run, attempt) : undefined;
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

function computeSilenceBoundMs(attempt: LiveAttempt): number {
    if (attempt.goneAtMs !== undefined && attempt.goneAtMs <= attempt.lastEventAtMs) {
        return GONE_SILENCE_MS;
    }
    if (attempt.firstTokenAtMs !== undefined) {
        return STREAM_SILENCE_MS;
    }
    const boundMs = Math.max(STREAM_SILENCE_MS, attempt.estimatedFirstTokenMs * FIRST_TOKEN_SILENCE_FACTOR);
    return attempt.probe === ProbeState.Alive ? boundMs * ALIVE_SILENCE_FACTOR : boundMs;
}

function computeHedge(run: ChatRun, attempt: LiveAttempt): number | undefined {
    if (!isBudgetLeft(run.shared, run.context.className, run.chat.model, 1, HEDGE_RESERVE)) {
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

/** Asks on a new connection whether the endpoint lives; a dead connection alone does not exclude the endpoint. */
function startProbe(run: ChatRun, attempt: LiveAttempt): void {
    attempt.probe = ProbeState.Running;
    void run.shared.parts.models
        .probeRunner(attempt.endpoint)
        .then(probed =>
            sendControl(run, { kind: ControlKind.Probed, attempt: attempt.id.attempt, isAlive: probed.isOk() }),
        );
}

function endSilentAttempt(run: ChatRun, attempt: LiveAttempt, boundMs: number): void {
    const { counts, parts } = run.shared;
    counts.silentConnections++;
    parts.metrics?.count(Metric.SilentConnections, { service: run.chat.model });
    const execution = attempt.generation.hasSentBytes() ? Execution.Unknown : Execution.NotRun;
    const message = `The runner sent nothing for ${Math.round(boundMs)} ms.`;
    retryRun(run, attempt, createFailure(FailureKind.EndpointSilent, message, { execution }));
}

function endCacheMove(run: ChatRun): void {
    run.cacheMove = undefined;
    requestRoute(run, AttemptPurpose.Move);
}

function failLate(run: ChatRun): void {
    const message = "The answer was not complete by its deadline.";
    failRun(run, createFailure(FailureKind.DeadlineExceeded, message, { details: { cause: run.lastFailure?.kind } }));
}

function setWake(run: ChatRun, atMs: number): void {
    const isSet = run.wakeAtMs !== undefined && run.wakeAtMs <= atMs + WAKE_TOLERANCE_MS;
    if (isSet || !Number.isFinite(atMs)) {
        return;
    }
    run.wakeAtMs = atMs;
    const { clock } = run.shared.parts;
    void clock.waitMs(atMs - clock.readMonotonicMs()).then(() => sendControl(run, { kind: ControlKind.Wake, atMs }));
}
