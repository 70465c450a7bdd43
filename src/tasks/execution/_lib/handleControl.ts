/**
 * @module Handles the control messages of a chat request: from timers, its caller and calls in progress.
 */
import { assertInvariant, Invariant } from "../../../base/assertInvariant";
import { createFailure } from "../../../base/createFailure";
import { FailureKind } from "../../../base/failure";
import { Metric } from "../../../base/metrics/metric";
import { AttemptReportKind } from "../../routing/routingClient";
import { AttemptPurpose, type ChatRun, ControlKind, type ControlMessage, ProbeState } from "./chatRun";
import { cancelRoute } from "./cancelRoute";
import { endAttempt } from "./endAttempt";
import { failRun } from "./failRun";
import { handleRouteChosen } from "./handleRouteChosen";
import { openAttempt } from "./openAttempt";
import { requestRoute } from "./requestRoute";

type MessageOf<K extends ControlKind> = Extract<ControlMessage, { readonly kind: K }>;

/**
 * Handles a control message.
 *
 * @param run - The request
 * @param message - The message
 * @example
 * handleControl(run, { kind: ControlKind.Cancelled });
 */
export function handleControl(run: ChatRun, message: ControlMessage): void {
    HANDLERS[message.kind](run, message as never);
}

const HANDLERS: Readonly<{ [K in ControlKind]: (run: ChatRun, message: MessageOf<K>) => void }> = {
    [ControlKind.Cancelled]: run => failRun(run, createFailure(FailureKind.Cancelled, "The caller cancelled.")),
    [ControlKind.Wake]: (run, message) => {
        if (run.wakeAtMs === message.atMs) {
            run.wakeAtMs = undefined;
        }
    },
    [ControlKind.ReaderReady]: run => {
        run.isReaderSlow = false;
        const nowMs = run.shared.dependencies.clock.readMonotonicMs();
        for (const attempt of run.live.values()) {
            attempt.lastEventAtMs = nowMs;
        }
    },
    [ControlKind.RouteChosen]: handleRouteChosen,
    [ControlKind.Probed]: (run, message) => {
        const attempt = run.live.get(message.attempt);
        if (attempt !== undefined) {
            attempt.probe = message.isAlive ? ProbeState.Alive : ProbeState.Dead;
        }
    },
    [ControlKind.MovePlanned]: (run, message) => {
        run.plannedMove = message.move;
    },
    [ControlKind.CacheMoved]: handleCacheMoved,
    [ControlKind.ShutdownTimedOut]: run => {
        const { counts, drainDeadlineMs, dependencies } = run.shared;
        const isDrainTimeoutReached =
            dependencies.clock.readMonotonicMs() >= (drainDeadlineMs ?? Number.POSITIVE_INFINITY);
        assertInvariant(
            isDrainTimeoutReached,
            Invariant.NoStreamCutByShutdown,
            `${run.context.requestId} ended before the drain timeout`,
        );
        counts.cutByShutdown++;
        failRun(run, createFailure(FailureKind.ShuttingDown, "The node stopped before the answer was complete."));
    },
};

function handleCacheMoved(run: ChatRun, message: MessageOf<ControlKind.CacheMoved>): void {
    const isCurrent = run.pendingCacheMove?.id === message.id;
    if (isCurrent) {
        run.pendingCacheMove = undefined;
    }
    if (message.moved.isErr()) {
        if (isCurrent && run.end === undefined) {
            const { kind } = message.moved.error;
            run.shared.dependencies.reportEvent("cache move failed", { requestId: run.context.requestId, kind });
            requestRoute(run, AttemptPurpose.Move);
        }
        return;
    }
    const { route, cacheId, tokens } = message.moved.value;
    if (!isCurrent || run.end !== undefined) {
        cancelRoute(run, message.id, route);
        return;
    }
    for (const attempt of [...run.live.values()]) {
        endAttempt(run, attempt, AttemptReportKind.Cancelled);
    }
    const { counts, dependencies } = run.shared;
    const recomputed = Math.max(0, run.prompt.promptTokens + run.deliveredTexts.length - tokens);
    counts.cacheMoves++;
    counts.recomputedTokens += recomputed;
    dependencies.metrics?.count(Metric.TokensRecomputed, { class: run.context.className }, recomputed);
    openAttempt(run, message.id, AttemptPurpose.Move, route, cacheId);
}
