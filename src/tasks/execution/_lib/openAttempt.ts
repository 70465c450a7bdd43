/**
 * @module Starts attempts.
 */
import { assertInvariant, Invariant } from "../../../base/assertInvariant";
import { Execution } from "../../../base/failure";
import type { AttemptId } from "../../../model/request";
import type { RouteDecision } from "../../routing/routingClient";
import { type AttemptPurpose, type ChatRun, type LiveAttempt, ProbeState } from "./chatRun";

/**
 * Opens an attempt at an endpoint. It continues after the tokens that the caller has received.
 *
 * @param run - The request
 * @param id - The attempt
 * @param purpose - Why it is made
 * @param route - The endpoint
 * @param importedCacheId - Id of KV cache that was imported there
 * @example
 * openAttempt(run, id, AttemptPurpose.First, route);
 */
export function openAttempt(
    run: ChatRun,
    id: AttemptId,
    purpose: AttemptPurpose,
    route: RouteDecision,
    importedCacheId?: string,
): void {
    const { clock, models, routing } = run.shared.dependencies;
    const nowMs = clock.readMonotonicMs();
    assertAtMostOnce(run);
    const watch = routing.watchEndpoint(route.endpoint.endpointId);
    const generation = models.openGeneration(route.endpoint, {
        id,
        chat: run.chat,
        priority: Math.max(0, Math.round(run.context.firstTokenDueAtMs - nowMs)),
        resumedTexts: [...run.deliveredTexts],
        importedCacheId,
        usesNewConnection: !run.context.isIdempotent,
    });
    const attempt: LiveAttempt = {
        id,
        purpose,
        endpoint: route.endpoint,
        generation,
        estimatedFirstTokenMs: route.estimatedFirstTokenMs,
        sentAtMs: nowMs,
        notices: watch.notices,
        releaseWatch: watch.release,
        lastEventAtMs: nowMs,
        firstTokenAtMs: undefined,
        tokens: 0,
        probe: ProbeState.None,
        goneAtMs: undefined,
    };
    run.live.set(id.attempt, attempt);
}

function assertAtMostOnce(run: ChatRun): void {
    const hasNotRun = run.live.size === 0 && run.pastExecutions.every(execution => execution === Execution.NotRun);
    assertInvariant(
        run.context.isIdempotent || hasNotRun,
        Invariant.AtMostOnce,
        `request ${run.context.requestId} could be executed twice`,
    );
}
