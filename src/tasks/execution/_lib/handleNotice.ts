/**
 * @module What a chat request does when its endpoint is going to leave.
 */
import type { LeavingStream } from "../../../decisions/outcomes/reclaim/reclaimMove";
import type { EndpointNotice } from "../../routing/routingClient";
import { DEFAULT_TOKEN_GAP_MS } from "../constants";
import { type ChatRun, ControlKind, type LiveAttempt } from "./chatRun";
import { sendControl } from "./sendControl";

/**
 * Notes when the endpoint goes and has the move planned together with those of other streams. An endpoint that is said
 * to be gone keeps its stream as long as events come, but is given less time to be silent.
 *
 * @param run - The request
 * @param attempt - The attempt at the endpoint
 * @param notice - The notice; `undefined` once no more can come
 * @example
 * handleNotice(run, attempt, notice);
 */
export function handleNotice(run: ChatRun, attempt: LiveAttempt, notice: EndpointNotice | undefined): void {
    if (notice === undefined) {
        attempt.notices = undefined;
        return;
    }
    const nowMs = run.shared.parts.clock.readMonotonicMs();
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
    const delivered = run.delivered.length;
    const maximumTokensLeft = Math.max(0, run.chat.maximumTokens - delivered);
    const usual = run.shared.answerTokens.get(run.chat.model) ?? run.chat.maximumTokens;
    const expected = usual > delivered ? usual - delivered : usual / 2;
    return {
        requestId: run.context.requestId,
        endpointId: attempt.endpoint.endpointId,
        isIdempotent: run.context.isIdempotent,
        promptTokens: run.prompt.promptTokens,
        deliveredTokens: delivered,
        expectedTokensLeft: Math.min(maximumTokensLeft, expected),
        maximumTokensLeft,
        tokenGapMs: measureTokenGapMs(attempt),
        deadlineAtMs: run.context.deadlineAtMs,
        goneAtMs: attempt.goneAtMs as number,
    };
}

function measureTokenGapMs(attempt: LiveAttempt): number {
    if (attempt.firstTokenAtMs === undefined || attempt.tokens < 2) {
        return DEFAULT_TOKEN_GAP_MS;
    }
    return (attempt.lastEventAtMs - attempt.firstTokenAtMs) / (attempt.tokens - 1);
}
