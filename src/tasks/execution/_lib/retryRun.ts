/**
 * @module Decides how a chat request continues after a failed attempt.
 */
import { type Failure, FailureKind } from "../../../base/failure";
import { computeResumeCharge } from "../../../decisions/outcomes/computeResumeCharge";
import { UNSENT_ATTEMPT_CHARGE } from "../../../decisions/outcomes/constants";
import { decideRetry, RetryReason, RetryRefusal } from "../../../decisions/outcomes/decideRetry";
import { FinishReason } from "../../../model/request";
import { AttemptReportKind } from "../../routing/routingClient";
import { chargeRetryBudget } from "./chargeRetryBudget";
import { AttemptPurpose, type ChatRun, type LiveAttempt, ProbeState } from "./chatRun";
import { endAttempt } from "./endAttempt";
import { failRun } from "./failRun";
import { requestRoute } from "./requestRoute";
import { scheduleRetry } from "./scheduleRetry";

/**
 * Ends a failed attempt and decides how the request continues: with another attempt that is already running, with a new
 * one if budget and deadline allow it, or not at all.
 *
 * @param run - The request
 * @param attempt - The attempt that failed
 * @param failure - Why it failed
 * @example
 * retryRun(run, attempt, failure);
 */
export function retryRun(run: ChatRun, attempt: LiveAttempt, failure: Failure): void {
    const hasSentBytes = attempt.generation.hasSentBytes();
    endAttempt(run, attempt, AttemptReportKind.Failed, failure);
    run.lastFailure = failure;
    updateExcludedEndpoints(run, attempt);
    run.attemptsSinceProgress = attempt.tokens > 0 ? 1 : run.attemptsSinceProgress;
    if (run.end !== undefined || run.live.size > 0 || run.pendingCacheMove !== undefined) {
        return;
    }
    if (run.deliveredTexts.length >= run.chat.maximumTokens) {
        run.end = { isSuccess: true, reason: FinishReason.Length };
        return;
    }
    const decision = decideRetry(
        {
            failure,
            hasSentBytes,
            isIdempotent: run.context.isIdempotent,
            attempts: run.attemptsSinceProgress,
            deliveredTokens: run.deliveredTexts.length,
            deadlineAtMs: run.context.deadlineAtMs,
        },
        run.shared.dependencies.clock.readMonotonicMs(),
    );
    if (!decision.isAllowed) {
        refuseRetry(run, failure, decision.refusal);
        return;
    }
    run.plannedMove = undefined;
    if (run.routing !== undefined) {
        return;
    }
    chargeAndRoute(run, attempt.goneAtMs !== undefined, hasSentBytes, decision.reason);
}

/** Excludes the endpoint; one that answered a probe is excluded only after a second failed connection. */
function updateExcludedEndpoints(run: ChatRun, attempt: LiveAttempt): void {
    const { endpointId } = attempt.endpoint;
    if (attempt.probe === ProbeState.Alive && !run.reconnectedEndpointIds.has(endpointId)) {
        run.reconnectedEndpointIds.add(endpointId);
    } else {
        run.excludedEndpointIds = [...run.excludedEndpointIds, endpointId];
    }
}

// A move from a leaving endpoint replaces the attempt and adds no load, so the retry budget is not charged.
function chargeAndRoute(run: ChatRun, wasLeaving: boolean, hasSentBytes: boolean, reason: RetryReason): void {
    if (wasLeaving) {
        run.isNextAttemptCharged = true;
        requestRoute(run, AttemptPurpose.Move);
        return;
    }
    const charge = computeCharge(run, hasSentBytes);
    if (chargeRetryBudget(run.shared, run.context.className, run.chat.model, charge)) {
        run.isNextAttemptCharged = true;
        requestRoute(run, reason === RetryReason.Resume ? AttemptPurpose.Resume : AttemptPurpose.Retry);
        return;
    }
    if (reason === RetryReason.Resume) {
        scheduleRetry(run);
        return;
    }
    refuseRetry(run, run.lastFailure as Failure, RetryRefusal.BudgetSpent);
}

function computeCharge(run: ChatRun, hasSentBytes: boolean): number {
    if (!hasSentBytes) {
        return UNSENT_ATTEMPT_CHARGE;
    }
    return run.deliveredTexts.length === 0
        ? 1
        : computeResumeCharge(run.prompt.promptTokens, run.deliveredTexts.length, run.chat.maximumTokens);
}

function refuseRetry(run: ChatRun, failure: Failure, refusal: RetryRefusal): void {
    const { requestId } = run.context;
    run.shared.dependencies.reportEvent("retry refused", { requestId, refusal, kind: failure.kind });
    const isUnknown = refusal === RetryRefusal.NotIdempotent;
    failRun(run, {
        ...failure,
        kind: isUnknown ? FailureKind.OutcomeUnknown : failure.kind,
        details: { ...failure.details, attempts: run.attemptsSinceProgress, refusal },
    });
}

/**
 * Retries after a backoff. Any endpoint may be chosen, since those that failed may have recovered.
 *
 * @param run - The request
 * @example
 * retryAfterBackoff(run);
 */
export function retryAfterBackoff(run: ChatRun): void {
    run.retryAtMs = undefined;
    run.excludedEndpointIds = [];
    const hasTokens = run.deliveredTexts.length > 0;
    const charge = computeCharge(run, hasTokens);
    run.isNextAttemptCharged ||= chargeRetryBudget(run.shared, run.context.className, run.chat.model, charge);
    if (run.isNextAttemptCharged) {
        requestRoute(run, hasTokens ? AttemptPurpose.Resume : AttemptPurpose.Retry);
    } else {
        scheduleRetry(run);
    }
}
