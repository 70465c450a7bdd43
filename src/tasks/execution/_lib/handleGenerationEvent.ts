/**
 * @module Handles the generation events of an attempt.
 */
import { assertInvariant, Invariant } from "../../../base/assertInvariant";
import { createFailure } from "../../../base/createFailure";
import { Execution, FailureKind } from "../../../base/failure";
import { Metric } from "../../../base/metrics/metric";
import { BatchVerdict, trimBatch } from "../../../decisions/outcomes/trimBatch";
import { type GenerationEvent, GenerationEventKind } from "../../../model/request";
import { AttemptReportKind } from "../../routing/routingClient";
import type { ChatRun, LiveAttempt } from "./chatRun";
import { endAttempt } from "./endAttempt";
import { retryRun } from "./retryRun";
import { sendTokens } from "./sendTokens";

type EventOf<K extends GenerationEventKind> = Extract<GenerationEvent, { readonly kind: K }>;

/**
 * Handles an event of a live attempt. Events of other requests or attempts are dropped and counted.
 *
 * @param run - The request
 * @param attempt - The attempt whose channel delivered the event
 * @param event - The event; `undefined` if the channel was closed without a last event
 * @example
 * handleGenerationEvent(run, attempt, event);
 */
export function handleGenerationEvent(run: ChatRun, attempt: LiveAttempt, event: GenerationEvent | undefined): void {
    attempt.lastEventAtMs = run.shared.dependencies.clock.readMonotonicMs();
    if (event === undefined) {
        retryRun(run, attempt, createFailure(FailureKind.EndpointFailed, "The stream ended early.", UNKNOWN_EXECUTION));
        return;
    }
    if (event.id.requestId !== attempt.id.requestId || event.id.attempt !== attempt.id.attempt) {
        countDropped(run, BatchVerdict.Foreign);
        return;
    }
    HANDLERS[event.kind](run, attempt, event as never);
}

const UNKNOWN_EXECUTION = { execution: Execution.Unknown };

const HANDLERS: Readonly<{
    [K in GenerationEventKind]: (run: ChatRun, attempt: LiveAttempt, event: EventOf<K>) => void;
}> = {
    [GenerationEventKind.Tokens]: handleTokens,
    [GenerationEventKind.Finished]: handleFinished,
    [GenerationEventKind.Failed]: (run, attempt, event) => retryRun(run, attempt, event.failure),
};

function handleTokens(run: ChatRun, attempt: LiveAttempt, event: EventOf<GenerationEventKind.Tokens>): void {
    const { verdict, texts } = trimBatch(run.deliveredTexts, attempt.id, event.id, event.batch);
    if (verdict === BatchVerdict.Gap || verdict === BatchVerdict.Contradicts) {
        countDropped(run, verdict);
        const message = `The runner's tokens don't continue the answer (${verdict}).`;
        retryRun(run, attempt, createFailure(FailureKind.EndpointFailed, message, UNKNOWN_EXECUTION));
        return;
    }
    if (verdict === BatchVerdict.Trimmed) {
        run.shared.counts.trimmedEvents++;
    }
    if (texts.length === 0) {
        countDropped(run, verdict);
        return;
    }
    recordTokens(run, attempt, texts.length);
    endOtherAttempts(run, attempt);
    assertInvariant(
        run.live.size === 1 && run.live.has(event.id.attempt),
        Invariant.BytesBelongToRequest,
        `tokens of attempt ${event.id.attempt} of ${run.context.requestId} while other attempts run`,
    );
    sendTokens(run, texts);
}

function handleFinished(run: ChatRun, attempt: LiveAttempt, event: EventOf<GenerationEventKind.Finished>): void {
    if (event.usage.outputTokens > run.deliveredTexts.length) {
        countDropped(run, BatchVerdict.Gap);
        const message = "The runner ended the answer before all of its tokens arrived.";
        retryRun(run, attempt, createFailure(FailureKind.EndpointFailed, message, UNKNOWN_EXECUTION));
        return;
    }
    endOtherAttempts(run, attempt);
    endAttempt(run, attempt, AttemptReportKind.Finished);
    run.promptTokens = event.usage.promptTokens;
    run.cachedTokens = Math.max(run.cachedTokens, event.usage.cachedTokens);
    run.end ??= { isSuccess: true, reason: event.reason };
}

function recordTokens(run: ChatRun, attempt: LiveAttempt, tokens: number): void {
    const isFirst = attempt.firstTokenAtMs === undefined;
    attempt.firstTokenAtMs ??= attempt.lastEventAtMs;
    attempt.tokens += tokens;
    run.shared.dependencies.routing.recordReport({
        kind: isFirst ? AttemptReportKind.FirstToken : AttemptReportKind.Tokens,
        id: attempt.id,
        endpointId: attempt.endpoint.endpointId,
        elapsedMs: isFirst ? attempt.lastEventAtMs - attempt.sentAtMs : 0,
        tokens,
    });
}

/** The first attempt that delivers a token supplies the rest of the answer; the others are cancelled. */
function endOtherAttempts(run: ChatRun, attempt: LiveAttempt): void {
    for (const other of [...run.live.values()]) {
        if (other !== attempt) {
            endAttempt(run, other, AttemptReportKind.Cancelled);
        }
    }
}

function countDropped(run: ChatRun, verdict: BatchVerdict): void {
    run.shared.counts.droppedEvents++;
    run.shared.dependencies.metrics?.count(Metric.LateAnswersDropped, { service: run.chat.model });
    run.shared.dependencies.reportEvent("answer event dropped", { requestId: run.context.requestId, verdict });
}
