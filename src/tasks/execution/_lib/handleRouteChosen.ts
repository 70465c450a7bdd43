/**
 * @module Handles the routes that routing chooses for a chat request.
 */
import { createFailure } from "../../../base/createFailure";
import { FailureKind } from "../../../base/failure";
import { Metric } from "../../../base/metrics/metric";
import { HEDGE_RESERVE, MINIMUM_ATTEMPT_MS } from "../../../decisions/outcomes/constants";
import { AttemptReportKind } from "../../routing/routingClient";
import { INITIAL_RETRY_BACKOFF_MS } from "../constants";
import { chargeRetryBudget } from "./chargeRetryBudget";
import { AttemptPurpose, type ChatRun, ControlKind, type ControlMessage } from "./chatRun";
import { cancelRoute } from "./cancelRoute";
import { endAttempt } from "./endAttempt";
import { failRun } from "./failRun";
import { openAttempt } from "./openAttempt";
import { scheduleRetry } from "./scheduleRetry";

type RouteChosen = Extract<ControlMessage, { readonly kind: ControlKind.RouteChosen }>;

/**
 * Opens the attempt for which the route was requested, if it is still needed.
 *
 * @param run - The request
 * @param message - Routing's answer
 * @example
 * handleRouteChosen(run, message);
 */
export function handleRouteChosen(run: ChatRun, message: RouteChosen): void {
    run.routing = undefined;
    if (message.route.isErr()) {
        handleNoRoute(run, message);
        return;
    }
    const route = message.route.value;
    if (run.end !== undefined || !IS_STILL_NEEDED[message.purpose](run)) {
        cancelRoute(run, message.id, route);
        failWithoutAttempt(run);
        return;
    }
    const nowMs = run.shared.dependencies.clock.readMonotonicMs();
    if (run.context.deadlineAtMs - nowMs < MINIMUM_ATTEMPT_MS) {
        cancelRoute(run, message.id, route);
        failRun(run, createFailure(FailureKind.DeadlineExceeded, "No time is left for an attempt."));
        return;
    }
    endReplacedAttempts(run, message.purpose);
    countAttempt(run, message.purpose);
    openAttempt(run, message.id, message.purpose, route);
}

const IS_STILL_NEEDED: Readonly<Record<AttemptPurpose, (run: ChatRun) => boolean>> = {
    [AttemptPurpose.First]: () => true,
    [AttemptPurpose.Retry]: run => run.live.size === 0,
    [AttemptPurpose.Resume]: run => run.live.size === 0,
    [AttemptPurpose.Move]: run =>
        run.live.size === 0 || [...run.live.values()].some(attempt => attempt.goneAtMs !== undefined),
    [AttemptPurpose.Hedge]: run => {
        const { shared, context, chat } = run;
        const reserve = run.live.size === 0 ? 0 : HEDGE_RESERVE;
        return run.deliveredTexts.length === 0 && chargeRetryBudget(shared, context.className, chat.model, 1, reserve);
    },
};

/** Fails the request if the attempt to be hedged has failed meanwhile and the budget did not allow the hedge. */
function failWithoutAttempt(run: ChatRun): void {
    if (run.end === undefined && run.live.size === 0 && run.lastFailure !== undefined) {
        failRun(run, run.lastFailure);
    }
}

function handleNoRoute(run: ChatRun, message: RouteChosen): void {
    const failure = message.route._unsafeUnwrapErr();
    const hasOtherAttempt = run.live.size > 0 || run.pendingCacheMove !== undefined;
    if (hasOtherAttempt || run.end !== undefined) {
        return;
    }
    if (message.purpose === AttemptPurpose.First || failure.kind !== FailureKind.NoEndpoint) {
        failRun(run, failure);
        return;
    }
    run.lastFailure ??= failure;
    scheduleRetry(run);
}

/** Ends the old attempts: the new one continues from the delivered text, so they may deliver nothing more. */
function endReplacedAttempts(run: ChatRun, purpose: AttemptPurpose): void {
    if (purpose === AttemptPurpose.Hedge) {
        return;
    }
    for (const attempt of [...run.live.values()]) {
        endAttempt(run, attempt, AttemptReportKind.Cancelled);
    }
}

function countAttempt(run: ChatRun, purpose: AttemptPurpose): void {
    const { counts, dependencies } = run.shared;
    const isContinued = run.deliveredTexts.length > 0;
    run.isNextAttemptCharged = false;
    run.backoffMs = INITIAL_RETRY_BACKOFF_MS;
    run.attemptsSinceProgress += purpose === AttemptPurpose.Move ? 0 : 1;
    counts.hedges += purpose === AttemptPurpose.Hedge ? 1 : 0;
    counts.prefillMoves += purpose === AttemptPurpose.Move ? 1 : 0;
    if (isContinued) {
        const recomputed = run.prompt.promptTokens + run.deliveredTexts.length;
        counts.resumes++;
        counts.recomputedTokens += recomputed;
        dependencies.metrics?.count(Metric.Resumes, { class: run.context.className });
        dependencies.metrics?.count(Metric.TokensRecomputed, { class: run.context.className }, recomputed);
    }
}
