/**
 * @module Decides whether to attempt a request again after a failed attempt.
 */
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { MAXIMUM_ATTEMPTS, MINIMUM_ATTEMPT_MS } from "./constants";

/** A failed attempt and the state of its request. */
export interface FailedAttempt {
    readonly failure: Failure;
    /** Whether any byte of the attempt may have left this process. */
    readonly hasSentBytes: boolean;
    readonly isIdempotent: boolean;
    /** Attempts made so far, including this one. */
    readonly attempts: number;
    /** Tokens that the caller already has. */
    readonly deliveredTokens: number;
    /** Monotonic milliseconds. */
    readonly deadlineAtMs: number;
}

/** Why a request may be attempted again. */
export enum RetryReason {
    /** No byte of the failed attempt can have reached the endpoint. */
    NotStarted = "not_started",
    /** The request may be executed more than once. */
    Idempotent = "idempotent",
    /** The caller already has part of the answer; another runner continues it. */
    Resume = "resume",
}

/** Why no further attempt is made. */
export enum RetryRefusal {
    NotIdempotent = "not_idempotent",
    NotRetryable = "not_retryable",
    AttemptsSpent = "attempts_spent",
    DeadlineTooNear = "deadline_too_near",
    BudgetSpent = "budget_spent",
}

/** Whether another attempt is allowed, and why. */
export type RetryDecision =
    | { readonly isAllowed: true; readonly reason: RetryReason }
    | { readonly isAllowed: false; readonly refusal: RetryRefusal };

const RETRYABLE_KINDS: ReadonlySet<FailureKind> = new Set([
    FailureKind.EndpointFailed,
    FailureKind.EndpointSilent,
    FailureKind.EndpointRefused,
]);

/**
 * Decides whether a failed attempt may be followed by another one. The retry budget is checked separately, afterwards.
 *
 * @param attempt - The failed attempt
 * @param nowMs - Monotonic milliseconds
 * @returns The decision and its reason
 * @example
 * const decision = decideRetry(failed, clock.readMonotonicMs());
 */
export function decideRetry(attempt: FailedAttempt, nowMs: number): RetryDecision {
    const isNotStarted = attempt.failure.execution === Execution.NotRun && !attempt.hasSentBytes;
    if (!RETRYABLE_KINDS.has(attempt.failure.kind)) {
        return { isAllowed: false, refusal: RetryRefusal.NotRetryable };
    }
    if (!attempt.isIdempotent && !isNotStarted) {
        return { isAllowed: false, refusal: RetryRefusal.NotIdempotent };
    }
    if (attempt.attempts >= MAXIMUM_ATTEMPTS) {
        return { isAllowed: false, refusal: RetryRefusal.AttemptsSpent };
    }
    if (attempt.deadlineAtMs - nowMs < MINIMUM_ATTEMPT_MS) {
        return { isAllowed: false, refusal: RetryRefusal.DeadlineTooNear };
    }
    return { isAllowed: true, reason: chooseReason(attempt, isNotStarted) };
}

function chooseReason(attempt: FailedAttempt, isNotStarted: boolean): RetryReason {
    if (attempt.deliveredTokens > 0) {
        return RetryReason.Resume;
    }
    return isNotStarted ? RetryReason.NotStarted : RetryReason.Idempotent;
}
