/**
 * @module What is done with an endpoint that routing has chosen.
 */
import { createFailure } from "../../../base/createFailure";
import { FailureKind } from "../../../base/failure";
import { Metric } from "../../../base/metrics/metric";
import { HEDGE_RESERVE, MINIMUM_ATTEMPT_MS } from "../../../decisions/outcomes/constants";
import { AttemptReportKind } from "../../routing/routingClient";
import { RETRY_PAUSE_MS } from "../constants";
import { chargeBudget } from "./chargeBudget";
import { AttemptPurpose, type ChatRun, ControlKind, type ControlMessage } from "./chatRun";
import { dropRoute } from "./dropRoute";
import { endAttempt } from "./endAttempt";
import { failRun } from "./failRun";
import { openAttempt } from "./openAttempt";
import { pauseRun } from "./pauseRun";

type RouteChosen = Extract<ControlMessage, { readonly kind: ControlKind.RouteChosen }>;

/**
 * Opens the attempt that the route was asked for, if it is still wanted.
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
    if (run.end !== undefined || !STILL_WANTED[message.purpose](run)) {
        dropRoute(run, message.id, route);
        failUnserved(run);
        return;
    }
    const nowMs = run.shared.parts.clock.readMonotonicMs();
    if (run.context.deadlineAtMs - nowMs < MINIMUM_ATTEMPT_MS) {
        dropRoute(run, message.id, route);
        failRun(run, createFailure(FailureKind.DeadlineExceeded, "No time is left for an attempt."));
        return;
    }
    endReplacedAttempts(run, message.purpose);
    countAttempt(run, message.purpose);
    openAttempt(run, message.id, message.purpose, route);
}

const STILL_WANTED: Readonly<Record<AttemptPurpose, (run: ChatRun) => boolean>> = {
    [AttemptPurpose.First]: () => true,
    [AttemptPurpose.Retry]: run => run.live.size === 0,
    [AttemptPurpose.Resume]: run => run.live.size === 0,
    [AttemptPurpose.Move]: run =>
        run.live.size === 0 || [...run.live.values()].some(attempt => attempt.goneAtMs !== undefined),
    [AttemptPurpose.Hedge]: run => {
        const { shared, context, chat } = run;
        const reserve = run.live.size === 0 ? 0 : HEDGE_RESERVE;
        return run.delivered.length === 0 && chargeBudget(shared, context.className, chat.model, 1, reserve);
    },
};

/** The attempt beside which a hedge was to be made has failed meanwhile, and the budget allows no other. */
function failUnserved(run: ChatRun): void {
    if (run.end === undefined && run.live.size === 0 && run.lastFailure !== undefined) {
        failRun(run, run.lastFailure);
    }
}

function handleNoRoute(run: ChatRun, message: RouteChosen): void {
    const failure = message.route._unsafeUnwrapErr();
    const isStillServed = run.live.size > 0 || run.cacheMove !== undefined;
    if (isStillServed || run.end !== undefined) {
        return;
    }
    if (message.purpose === AttemptPurpose.First || failure.kind !== FailureKind.NoEndpoint) {
        failRun(run, failure);
        return;
    }
    run.lastFailure ??= failure;
    pauseRun(run);
}

/** The new attempt continues from the delivered text, so nothing more may come from the old one. */
function endReplacedAttempts(run: ChatRun, purpose: AttemptPurpose): void {
    if (purpose === AttemptPurpose.Hedge) {
        return;
    }
    for (const attempt of [...run.live.values()]) {
        endAttempt(run, attempt, AttemptReportKind.Cancelled);
    }
}

function countAttempt(run: ChatRun, purpose: AttemptPurpose): void {
    const { counts, parts } = run.shared;
    const isContinued = run.delivered.length > 0;
    run.isCharged = false;
    run.pauseMs = RETRY_PAUSE_MS;
    run.attempts += purpose === AttemptPurpose.Move ? 0 : 1;
    counts.hedges += purpose === AttemptPurpose.Hedge ? 1 : 0;
    counts.prefillMoves += purpose === AttemptPurpose.Move ? 1 : 0;
    if (isContinued) {
        const recomputed = run.prompt.promptTokens + run.delivered.length;
        counts.resumes++;
        counts.recomputedTokens += recomputed;
        parts.metrics?.count(Metric.Resumes, { class: run.context.className });
        parts.metrics?.count(Metric.TokensRecomputed, { class: run.context.className }, recomputed);
    }
}
