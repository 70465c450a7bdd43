/**
 * @module One chat request from admission to its one final outcome.
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
import { addRequest } from "./_lib/addRequest";
import { AttemptPurpose, type ChatEnd, type ChatRun, type ControlMessage } from "./_lib/chatRun";
import { claimExecution, type ClaimPhase, ClaimPhaseKind, findExecution } from "./_lib/claimExecution";
import { dropMessage } from "./_lib/dropMessage";
import { failRun } from "./_lib/failRun";
import { handleControl } from "./_lib/handleControl";
import { handleGenerationEvent } from "./_lib/handleGenerationEvent";
import { handleNotice } from "./_lib/handleNotice";
import { decodeChatOutcome, encodeChatOutcome } from "./_lib/outcomeText";
import { requestRoute } from "./_lib/requestRoute";
import { runTimers } from "./_lib/runTimers";
import { LENGTH_ESTIMATE_WEIGHT, SETTLEMENT_WAIT_MS } from "./constants";
import { type AnswerEvent, AnswerEventKind } from "./executionClient";

/**
 * Runs a chat request. Exactly one `Finished` or `Failed` is its last event. Ends when the reader has room for it, or
 * has cancelled.
 *
 * @param run - The request's state
 * @example
 * startTask("chat", () => runChat(run));
 */
export function* runChat(run: ChatRun): TaskGenerator<void> {
    const { admission } = run.shared.parts;
    const { requestId } = run.context;
    const body = describeBody(run);
    const found = yield* findExecution(run.shared, run.context, body);
    if (found.kind !== ClaimPhaseKind.Proceed) {
        yield* endUnclaimed(run, found);
        return;
    }
    const refusal = yield* waitForAdmission(run);
    if (refusal !== undefined) {
        yield* endUnclaimed(run, { kind: ClaimPhaseKind.Refused, failure: refusal });
        return;
    }
    const claimed = yield* claimExecution(run.shared, run.context, body);
    if (claimed.kind !== ClaimPhaseKind.Proceed) {
        admission.finishRequest(requestId, 0);
        yield* endUnclaimed(run, claimed);
        return;
    }
    const end = yield* serveRun(run);
    admission.finishRequest(requestId, run.prompt.promptTokens + run.delivered.length);
    yield* recordOutcome(run, end, claimed.claim);
    yield* endServed(run, end);
}

function describeBody(run: ChatRun): string {
    return stringify(run.chat) ?? "";
}

/** Waits for admission; gives the failure, if there is one. */
function* waitForAdmission(run: ChatRun): TaskGenerator<Failure | undefined> {
    const { context, chat, prompt, shared } = run;
    const size = { promptTokens: prompt.promptTokens, maximumTokens: chat.maximumTokens };
    const asked = shared.parts.admission.requestAdmission({ context, serviceName: chat.model, ...size });
    const admitted = yield* waitFor(asked);
    if (admitted.isErr()) {
        return { ...admitted.error, execution: Execution.NotRun };
    }
    addRequest(shared, context.className, chat.model);
    return undefined;
}

/** Runs attempts until the request has its outcome. */
function* serveRun(run: ChatRun): TaskGenerator<ChatEnd> {
    requestRoute(run, AttemptPurpose.First);
    for (;;) {
        runTimers(run);
        if (run.end !== undefined) {
            break;
        }
        yield* handleNext(run);
    }
    for (let late = pollMessage(run.control); late !== undefined; late = pollMessage(run.control)) {
        dropMessage(run, late);
    }
    assertInvariant(run.live.size === 0, Invariant.OneFinalOutcome, `attempts outlive ${run.context.requestId}`);
    return run.end;
}

/** Waits for the next message of the timers, the runners and their notices, and handles it. */
function* handleNext(run: ChatRun): TaskGenerator<void> {
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

/** Records the outcome under the idempotency key before the caller sees it, if the store answers soon. */
function* recordOutcome(run: ChatRun, end: ChatEnd, claim: HeldClaim | undefined): TaskGenerator<void> {
    if (claim === undefined) {
        return;
    }
    if (end.isSuccess) {
        const outcome = encodeChatOutcome({ texts: run.delivered, reason: end.reason, usage: buildUsage(run) });
        yield* waitFor(claim.settle({ state: ClaimState.Ran, outcome }, SETTLEMENT_WAIT_MS));
        return;
    }
    const state = end.failure.execution === Execution.NotRun ? ClaimState.NotRun : ClaimState.Unknown;
    yield* waitFor(claim.settle({ state }, SETTLEMENT_WAIT_MS));
}

function* endServed(run: ChatRun, end: ChatEnd): TaskGenerator<void> {
    if (end.isSuccess) {
        recordAnswerLength(run);
        yield* sendLast(run, { kind: AnswerEventKind.Finished, reason: end.reason, usage: buildUsage(run) });
        return;
    }
    assertInvariant(
        end.failure.execution !== Execution.NotRun || run.pastExecutions.every(past => past === Execution.NotRun),
        Invariant.NotRunIsTrue,
        `${run.context.requestId} told not_run after bytes were sent`,
    );
    yield* sendLast(run, { kind: AnswerEventKind.Failed, failure: end.failure });
}

/** Ends a request of which this node sent nothing: it was refused, or its outcome was recorded earlier. */
function* endUnclaimed(
    run: ChatRun,
    phase: Exclude<ClaimPhase, { readonly kind: ClaimPhaseKind.Proceed }>,
): TaskGenerator<void> {
    if (phase.kind === ClaimPhaseKind.Refused) {
        run.end = { isSuccess: false, failure: phase.failure };
        yield* sendLast(run, { kind: AnswerEventKind.Failed, failure: phase.failure });
        return;
    }
    const outcome = decodeChatOutcome(phase.outcome);
    if (outcome === undefined) {
        const message = "The recorded outcome can't be read.";
        failRun(run, createFailure(FailureKind.OutcomeUnknown, message));
        const failure = createFailure(FailureKind.OutcomeUnknown, message, { execution: Execution.Ran });
        yield* sendLast(run, { kind: AnswerEventKind.Failed, failure });
        return;
    }
    const { texts, reason, usage } = outcome;
    run.end = { isSuccess: true, reason };
    if (texts.length > 0) {
        void sendMessage(run.answers, { kind: AnswerEventKind.Tokens, batch: { offset: 0, texts } });
    }
    yield* sendLast(run, { kind: AnswerEventKind.Finished, reason, usage });
}

/** Hands over the last event; a reader that has cancelled is not waited for. */
function* sendLast(run: ChatRun, event: AnswerEvent): TaskGenerator<void> {
    const gone = new Promise<boolean>(resolve => {
        if (run.cancelled.aborted) {
            resolve(false);
        }
        run.cancelled.addEventListener("abort", () => resolve(false));
    });
    yield* waitFor(Promise.race([sendMessage(run.answers, event), gone]));
}

function buildUsage(run: ChatRun): Usage {
    return {
        promptTokens: run.promptTokens ?? run.prompt.promptTokens,
        outputTokens: run.delivered.length,
        cachedTokens: run.cachedTokens,
    };
}

function recordAnswerLength(run: ChatRun): void {
    const { answerTokens } = run.shared;
    const { length } = run.delivered;
    const before = answerTokens.get(run.chat.model) ?? length;
    answerTokens.set(run.chat.model, before + (length - before) * LENGTH_ESTIMATE_WEIGHT);
}
