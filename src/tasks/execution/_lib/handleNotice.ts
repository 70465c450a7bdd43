/**
 * @module Handles notices that the endpoint of a chat request is leaving.
 */
import type { LeavingStream } from "../../../decisions/outcomes/reclaim/reclaimMove";
import type { EndpointNotice } from "../../routing/routingClient";
import { DEFAULT_TOKEN_GAP_MS } from "../constants";
import { type ChatRun, ControlKind, type LiveAttempt } from "./chatRun";
import { sendControl } from "./sendControl";

/**
 * Records when the endpoint will be gone and submits the stream to the planner, which plans it together with other
 * streams. A stream whose endpoint is reported gone continues as long as events arrive, with a shorter idle timeout.
 *
 * @param run - The request
 * @param attempt - The attempt at the endpoint
 * @param notice - The notice; `undefined` once the channel has closed
 * @example
 * handleNotice(run, attempt, notice);
 */
export function handleNotice(run: ChatRun, attempt: LiveAttempt, notice: EndpointNotice | undefined): void {
    if (notice === undefined) {
        attempt.notices = undefined;
        return;
    }
    const nowMs = run.shared.dependencies.clock.readMonotonicMs();
    const isFirst = attempt.goneAtMs === undefined;
    attempt.goneAtMs = notice.goneAtMs ?? Math.min(nowMs, attempt.goneAtMs ?? nowMs);
    if (!isFirst || notice.goneAtMs === undefined) {
        return;
    }
    run.shared.planner.addStream({
        serviceName: run.chat.model,
        describeStream: () => (run.live.has(attempt.id.attempt) ? describeStream(run, attempt) : undefined),
        handleMove: move => sendControl(run, { kind: ControlKind.MovePlanned, move }),
    });
}

function describeStream(run: ChatRun, attempt: LiveAttempt): LeavingStream {
    const delivered = run.deliveredTexts.length;
    const maximumTokensLeft = Math.max(0, run.chat.maximumTokens - delivered);
    const expectedTokens = run.shared.answerTokens.get(run.chat.model) ?? run.chat.maximumTokens;
    const expectedTokensLeft = expectedTokens > delivered ? expectedTokens - delivered : expectedTokens / 2;
    return {
        requestId: run.context.requestId,
        endpointId: attempt.endpoint.endpointId,
        isIdempotent: run.context.isIdempotent,
        promptTokens: run.prompt.promptTokens,
        deliveredTokens: delivered,
        expectedTokensLeft: Math.min(maximumTokensLeft, expectedTokensLeft),
        maximumTokensLeft,
        tokenGapMs: computeMeanTokenGapMs(attempt),
        deadlineAtMs: run.context.deadlineAtMs,
        goneAtMs: attempt.goneAtMs as number,
    };
}

function computeMeanTokenGapMs(attempt: LiveAttempt): number {
    if (attempt.firstTokenAtMs === undefined || attempt.tokens < 2) {
        return DEFAULT_TOKEN_GAP_MS;
    }
    return (attempt.lastEventAtMs - attempt.firstTokenAtMs) / (attempt.tokens - 1);
}
