/**
 * @module Runs one chat request from admission to its outcome.
 */
import stringify from "json-stable-stringify";
import { assertInvariant, Invariant } from "../../base/assertInvariant";
import { createFailure } from "../../base/createFailure";
import { type Channel, pollMessage, selectMessage, sendMessage, type TaskGenerator, waitFor } from "../../base/csp";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { ClaimState } from "../../decisions/outcomes/claims/claimRecord";
import type { GenerationEvent, Usage } from "../../model/request";
import type { HeldClaim } from "../claims/claimClient";
import type { EndpointNotice } from "../routing/routingClient";
import { recordFirstAttempt } from "./_lib/recordFirstAttempt";
import { AttemptPurpose, type ChatResult, type ChatRun, type ControlMessage } from "./_lib/chatRun";
import { claimExecution, type ClaimCheck, ClaimCheckKind, findRecordedOutcome } from "./_lib/claimExecution";
import { convertStopped } from "./_lib/convertStopped";
import { dropMessage } from "./_lib/dropMessage";
import { failRun } from "./_lib/failRun";
import { handleControl } from "./_lib/handleControl";
import { handleGenerationEvent } from "./_lib/handleGenerationEvent";
import { handleNotice } from "./_lib/handleNotice";
import { decodeChatOutcome, encodeChatOutcome } from "./_lib/outcomeCodec";
import { requestRoute } from "./_lib/requestRoute";
import { runDueActions } from "./_lib/runDueActions";
import { ANSWER_LENGTH_SMOOTHING_FACTOR, SETTLEMENT_TIMEOUT_MS } from "./constants";
import { type AnswerEvent, AnswerEventKind } from "./executionClient";

/**
 * Runs a chat request. Its last event is exactly one `Finished` or `Failed`. The run ends once the answer channel has
 * taken that event, or the caller has cancelled.
 *
 * @param run - The request's state
 * @example
 * startTask("chat", () => runChat(run));
 */
export function* runChat(run: ChatRun): TaskGenerator<void> {
    const { admission } = run.shared.dependencies;
    const { requestId } = run.context;
    const body = encodeBody(run);
    const recorded = yield* findRecordedOutcome(run.shared, run.context, body);
    if (recorded.kind !== ClaimCheckKind.Proceed) {
        yield* endWithoutAttempt(run, recorded);
        return;
    }
    const refusal = yield* waitForAdmission(run);
    if (refusal !== undefined) {
        yield* endWithoutAttempt(run, { kind: ClaimCheckKind.Refused, failure: refusal });
        return;
    }
    const claimed = yield* claimExecution(run.shared, run.context, body);
    if (claimed.kind !== ClaimCheckKind.Proceed) {
        admission.finishRequest(requestId, 0);
        yield* endWithoutAttempt(run, claimed);
        return;
    }
    const end = yield* runAttempts(run);
    admission.finishRequest(requestId, run.prompt.promptTokens + run.deliveredTexts.length);
    yield* recordOutcome(run, end, claimed.claim);
    yield* sendResult(run, end);
}

function encodeBody(run: ChatRun): string {
    return stringify(run.chat) ?? "";
}

/** Waits for admission; returns the failure if the request is refused. */
function* waitForAdmission(run: ChatRun): TaskGenerator<Failure | undefined> {
    const { context, chat, prompt, shared } = run;
    const size = { promptTokens: prompt.promptTokens, maximumTokens: chat.maximumTokens };
    const pending = shared.dependencies.admission.requestAdmission({ context, serviceName: chat.model, ...size });
    const admitted = yield* waitFor(pending);
    if (admitted.isErr()) {
        return { ...convertStopped(admitted.error, run.cancelled.aborted), execution: Execution.NotRun };
    }
    recordFirstAttempt(shared, context.className, chat.model);
    return undefined;
}

/** Runs attempts until the request has its outcome, then discards late control messages. */
function* runAttempts(run: ChatRun): TaskGenerator<ChatResult> {
    requestRoute(run, AttemptPurpose.First);
    for (;;) {
        runDueActions(run);
        if (run.end !== undefined) {
            break;
        }
        yield* handleNextMessage(run);
    }
    for (let message = pollMessage(run.control); message !== undefined; message = pollMessage(run.control)) {
        dropMessage(run, message);
    }
    assertInvariant(
        run.live.size === 0,
        Invariant.OneFinalOutcome,
        `${run.context.requestId} ended with open attempts`,
    );
    return run.end;
}

/** Waits for the next control message, generation event or endpoint notice, and handles it. */
function* handleNextMessage(run: ChatRun): TaskGenerator<void> {
    const channels: Record<string, Channel<unknown>> = { control: run.control };
    const handlers: Record<string, (message: unknown) => void> = {
        control: message => handleControl(run, message as ControlMessage),
    };
    for (const attempt of run.live.values()) {
        const number = attempt.id.attempt;
        if (attempt.notices !== undefined) {
            channels[`notices ${number}`] = attempt.notices;
            handlers[`notices ${number}`] = message =>
                handleNotice(run, attempt, message as EndpointNotice | undefined);
        }
        if (!run.isReaderSlow) {
            channels[`events ${number}`] = attempt.generation.events;
            handlers[`events ${number}`] = message =>
                handleGenerationEvent(run, attempt, message as GenerationEvent | undefined);
        }
    }
    const selected = yield* selectMessage(channels);
    handlers[selected.from]?.(selected.message);
}

/** Records the outcome under the idempotency key; waits for the store at most `SETTLEMENT_TIMEOUT_MS`. */
function* recordOutcome(run: ChatRun, end: ChatResult, claim: HeldClaim | undefined): TaskGenerator<void> {
    if (claim === undefined) {
        return;
    }
    if (end.isSuccess) {
        const outcome = encodeChatOutcome({ texts: run.deliveredTexts, reason: end.reason, usage: buildUsage(run) });
        yield* waitFor(claim.settle({ state: ClaimState.Ran, outcome }, SETTLEMENT_TIMEOUT_MS));
        return;
    }
    const state = end.failure.execution === Execution.NotRun ? ClaimState.NotRun : ClaimState.Unknown;
    yield* waitFor(claim.settle({ state }, SETTLEMENT_TIMEOUT_MS));
}

/** Sends the last event of a request that was executed. */
function* sendResult(run: ChatRun, end: ChatResult): TaskGenerator<void> {
    if (end.isSuccess) {
        recordAnswerLength(run);
        yield* sendLastEvent(run, { kind: AnswerEventKind.Finished, reason: end.reason, usage: buildUsage(run) });
        return;
    }
    assertInvariant(
        end.failure.execution !== Execution.NotRun || run.pastExecutions.every(past => past === Execution.NotRun),
        Invariant.NotRunIsTrue,
        `${run.context.requestId} reported not_run after bytes were sent`,
    );
    yield* sendLastEvent(run, { kind: AnswerEventKind.Failed, failure: end.failure });
}

/** Ends a request without an attempt: it was refused, or its outcome was recorded earlier and is replayed. */
function* endWithoutAttempt(
    run: ChatRun,
    check: Exclude<ClaimCheck, { readonly kind: ClaimCheckKind.Proceed }>,
): TaskGenerator<void> {
    if (check.kind === ClaimCheckKind.Refused) {
        run.end = { isSuccess: false, failure: check.failure };
        yield* sendLastEvent(run, { kind: AnswerEventKind.Failed, failure: check.failure });
        return;
    }
    const outcome = decodeChatOutcome(check.outcome);
    if (outcome === undefined) {
        const message = "The recorded outcome can't be read.";
        failRun(run, createFailure(FailureKind.OutcomeUnknown, message));
        const failure = createFailure(FailureKind.OutcomeUnknown, message, { execution: Execution.Ran });
        yield* sendLastEvent(run, { kind: AnswerEventKind.Failed, failure });
        return;
    }
    const { texts, reason, usage } = outcome;
    run.end = { isSuccess: true, reason };
    if (texts.length > 0) {
        void sendMessage(run.answers, { kind: AnswerEventKind.Tokens, batch: { offset: 0, texts } });
    }
    yield* sendLastEvent(run, { kind: AnswerEventKind.Finished, reason, usage });
}

/** Sends the last event; does not wait for a caller that has cancelled. */
function* sendLastEvent(run: ChatRun, event: AnswerEvent): TaskGenerator<void> {
    const cancelled = new Promise<boolean>(resolve => {
        if (run.cancelled.aborted) {
            resolve(false);
        }
        run.cancelled.addEventListener("abort", () => resolve(false));
    });
    yield* waitFor(Promise.race([sendMessage(run.answers, event), cancelled]));
}

function buildUsage(run: ChatRun): Usage {
    return {
        promptTokens: run.promptTokens ?? run.prompt.promptTokens,
        outputTokens: run.deliveredTexts.length,
        cachedTokens: run.cachedTokens,
    };
}

function recordAnswerLength(run: ChatRun): void {
    const { answerTokens } = run.shared;
    const { length } = run.deliveredTexts;
    const average = answerTokens.get(run.chat.model) ?? length;
    answerTokens.set(run.chat.model, average + (length - average) * ANSWER_LENGTH_SMOOTHING_FACTOR);
}
