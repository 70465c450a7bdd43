/**
 * @module What happens to a chat request whose last attempt has failed.
 */
import { type Failure, FailureKind } from "../../../base/failure";
import { computeResumeCharge } from "../../../decisions/outcomes/computeResumeCharge";
import { UNSENT_ATTEMPT_CHARGE } from "../../../decisions/outcomes/constants";
import { decideRetry, RetryReason, RetryRefusal } from "../../../decisions/outcomes/decideRetry";
import { FinishReason } from "../../../model/request";
import { AttemptReportKind } from "../../routing/routingClient";
import { chargeBudget } from "./chargeBudget";
import { AttemptPurpose, type ChatRun, type LiveAttempt, ProbeState } from "./chatRun";
import { endAttempt } from "./endAttempt";
import { failRun } from "./failRun";
import { requestRoute } from "./requestRoute";
import { pauseRun } from "./pauseRun";

/**
 * Ends a failed attempt and decides how the request goes on: with another attempt that is running already, with a new
 * one inside budget and deadline, or not at all.
 *
 * @param run - The request
 * @param attempt - The attempt that failed
 * @param failure - Why
 * @example
 * retryRun(run, attempt, failure);
 */
export function retryRun(run: ChatRun, attempt: LiveAttempt, failure: Failure): void {
    const hasSentBytes = attempt.generation.hasSentBytes();
    endAttempt(run, attempt, AttemptReportKind.Failed, failure);
    run.lastFailure = failure;
    dropEndpoint(run, attempt);
    run.attempts = attempt.tokens > 0 ? 1 : run.attempts;
    if (run.end !== undefined || run.live.size > 0 || run.cacheMove !== undefined) {
        return;
    }
    if (run.delivered.length >= run.chat.maximumTokens) {
        run.end = { isSuccess: true, reason: FinishReason.Length };
        return;
    }
    const decision = decideRetry(
        {
            failure,
            hasSentBytes,
            isIdempotent: run.context.isIdempotent,
            attempts: run.attempts,
            deliveredTokens: run.delivered.length,
            deadlineAtMs: run.context.deadlineAtMs,
        },
        run.shared.parts.clock.readMonotonicMs(),
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

/** An endpoint that answers a probe is given one more connection, and excluded after that. */
function dropEndpoint(run: ChatRun, attempt: LiveAttempt): void {
    const { endpointId } = attempt.endpoint;
    if (attempt.probe === ProbeState.Alive && !run.forgivenEndpointIds.has(endpointId)) {
        run.forgivenEndpointIds.add(endpointId);
    } else {
        run.excludedEndpointIds = [...run.excludedEndpointIds, endpointId];
    }
}

// Work that leaves with its announced endpoint is moved, not multiplied: it is not charged.
function chargeAndRoute(run: ChatRun, wasLeaving: boolean, hasSentBytes: boolean, reason: RetryReason): void {
    if (wasLeaving) {
        run.isCharged = true;
        requestRoute(run, AttemptPurpose.Move);
        return;
    }
    const charge = computeCharge(run, hasSentBytes);
    if (chargeBudget(run.shared, run.context.className, run.chat.model, charge)) {
        run.isCharged = true;
        requestRoute(run, reason === RetryReason.Resume ? AttemptPurpose.Resume : AttemptPurpose.Retry);
        return;
    }
    if (reason === RetryReason.Resume) {
        pauseRun(run);
        return;
    }
    refuseRetry(run, run.lastFailure as Failure, RetryRefusal.BudgetSpent);
}

function computeCharge(run: ChatRun, hasSentBytes: boolean): number {
    if (!hasSentBytes) {
        return UNSENT_ATTEMPT_CHARGE;
    }
    return run.delivered.length === 0
        ? 1
        : computeResumeCharge(run.prompt.promptTokens, run.delivered.length, run.chat.maximumTokens);
}

function refuseRetry(run: ChatRun, failure: Failure, refusal: RetryRefusal): void {
    const { requestId } = run.context;
    run.shared.parts.reportEvent("retry refused", { requestId, refusal, kind: failure.kind });
    const isUnknown = refusal === RetryRefusal.NotIdempotent;
    failRun(run, {
        ...failure,
        kind: isUnknown ? FailureKind.OutcomeUnknown : failure.kind,
        details: { ...failure.details, attempts: run.attempts, refusal },
    });
}

/**
 * Tries again after a pause: any endpoint may be chosen, since those that failed may have recovered.
 *
 * @param run - The request
 * @example
 * retryAfterPause(run);
 */
export function retryAfterPause(run: ChatRun): void {
    run.retryAtMs = undefined;
    run.excludedEndpointIds = [];
    const hasTokens = run.delivered.length > 0;
    const charge = computeCharge(run, hasTokens);
    run.isCharged ||= chargeBudget(run.shared, run.context.className, run.chat.model, charge);
    if (run.isCharged) {
        requestRoute(run, hasTokens ? AttemptPurpose.Resume : AttemptPurpose.Retry);
    } else {
        pauseRun(run);
    }
}
