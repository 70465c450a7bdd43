/**
 * @module Runs one call to an application runner from admission to its outcome.
 */
import { err, ok, type Result } from "neverthrow";
import { assertInvariant, Invariant } from "../../base/assertInvariant";
import { createFailure } from "../../base/createFailure";
import { type TaskGenerator, waitFor } from "../../base/csp";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { ClaimState } from "../../decisions/outcomes/claims/claimRecord";
import { UNSENT_ATTEMPT_CHARGE } from "../../decisions/outcomes/constants";
import { mergeExecutions } from "../../decisions/outcomes/mergeExecutions";
import { decideRetry, RetryRefusal } from "../../decisions/outcomes/decideRetry";
import type { AttemptId, RequestContext, ServiceCall } from "../../model/request";
import type { ServiceResponse } from "../../ports/applicationRunner";
import type { HeldClaim } from "../claims/claimClient";
import { AttemptReportKind, type RouteDecision } from "../routing/routingClient";
import { recordFirstAttempt } from "./_lib/recordFirstAttempt";
import { chargeRetryBudget } from "./_lib/chargeRetryBudget";
import { claimExecution, type ClaimCheck, ClaimCheckKind, findRecordedOutcome } from "./_lib/claimExecution";
import type { ExecutionShared } from "./_lib/executionShared";
import { decodeServiceOutcome, encodeServiceOutcome } from "./_lib/outcomeCodec";
import { SERVICE_ROUTE_SEGMENTS, SETTLEMENT_TIMEOUT_MS } from "./constants";

type Answer = Result<ServiceResponse, Failure>;

/** A call in progress. */
interface CallRun {
    readonly shared: ExecutionShared;
    readonly context: RequestContext;
    readonly call: ServiceCall;
    readonly cancelled: AbortSignal;
    readonly executions: Execution[];
    readonly excludedEndpointIds: string[];
}

/**
 * Runs a service call. A call that may not be repeated is claimed before its first byte is sent, and is retried at
 * another endpoint only if it certainly did not start at the previous one.
 *
 * @param shared - State shared by the node's executions
 * @param context - Caller, class and deadline
 * @param call - The call
 * @param cancelled - Aborted when the caller cancels or a shutdown ends the call
 * @returns The answer, or a failure with what is known about execution
 * @example
 * const answer = yield* runServiceCall(shared, context, call, cancelled);
 */
export function* runServiceCall(
    shared: ExecutionShared,
    context: RequestContext,
    call: ServiceCall,
    cancelled: AbortSignal,
): TaskGenerator<Answer> {
    const body = encodeBody(call);
    const recorded = yield* findRecordedOutcome(shared, context, body);
    if (recorded.kind !== ClaimCheckKind.Proceed) {
        return convertCheck(recorded);
    }
    const { admission } = shared.dependencies;
    const { requestId } = context;
    const size = { promptTokens: 1, maximumTokens: 0 };
    const pending = admission.requestAdmission({ context, serviceName: call.serviceName, ...size });
    const admitted = yield* waitFor(pending);
    if (admitted.isErr()) {
        return err({ ...admitted.error, execution: Execution.NotRun });
    }
    recordFirstAttempt(shared, context.className, call.serviceName);
    const claimed = yield* claimExecution(shared, context, body);
    if (claimed.kind !== ClaimCheckKind.Proceed) {
        admission.finishRequest(requestId, 0);
        return convertCheck(claimed);
    }
    const run = { shared, context, call, cancelled, executions: [], excludedEndpointIds: [] };
    const answer = yield* runAttempts(run);
    admission.finishRequest(requestId, 1);
    yield* recordOutcome(answer, claimed.claim);
    return answer;
}

function encodeBody(call: ServiceCall): Buffer {
    return Buffer.concat([Buffer.from(JSON.stringify([call.serviceName, call.method, call.path])), call.body]);
}

function convertCheck(check: Exclude<ClaimCheck, { readonly kind: ClaimCheckKind.Proceed }>): Answer {
    if (check.kind === ClaimCheckKind.Refused) {
        return err(check.failure);
    }
    const answer = decodeServiceOutcome(check.outcome);
    const message = "The recorded outcome can't be read.";
    return answer === undefined
        ? err(createFailure(FailureKind.OutcomeUnknown, message, { execution: Execution.Ran }))
        : ok(answer);
}

function* runAttempts(run: CallRun): TaskGenerator<Answer> {
    const { clock, routing } = run.shared.dependencies;
    for (let attempt = 1; ; attempt++) {
        if (run.cancelled.aborted) {
            return failCall(run, createFailure(FailureKind.Cancelled, "The caller cancelled."));
        }
        if (clock.readMonotonicMs() >= run.context.deadlineAtMs) {
            return failCall(run, createFailure(FailureKind.DeadlineExceeded, "No time is left for an attempt."));
        }
        const id: AttemptId = { requestId: run.context.requestId, attempt };
        const route = yield* waitFor(routing.chooseEndpoint(buildRouteQuery(run, id)));
        if (route.isErr()) {
            return failCall(run, route.error);
        }
        const answer = yield* runAttempt(run, id, route.value);
        if (answer.isOk()) {
            return answer;
        }
        const refusal = checkRetry(run, answer.error, attempt);
        if (refusal !== undefined) {
            return failCall(run, explainRefusal(answer.error, refusal, attempt));
        }
    }
}

function buildRouteQuery(run: CallRun, id: AttemptId) {
    const [path = "/"] = run.call.path.split("?");
    return {
        id,
        context: run.context,
        serviceName: run.call.serviceName,
        route: path
            .split("/")
            .slice(0, SERVICE_ROUTE_SEGMENTS + 1)
            .join("/"),
        prefixHashes: [],
        promptTokens: 0,
        maximumTokens: 0,
        excludedEndpointIds: [...run.excludedEndpointIds],
    };
}

function* runAttempt(run: CallRun, id: AttemptId, route: RouteDecision): TaskGenerator<Answer> {
    const { applications, clock, routing } = run.shared.dependencies;
    const hasNotRun = run.executions.every(execution => execution === Execution.NotRun);
    assertInvariant(
        run.context.isIdempotent || hasNotRun,
        Invariant.AtMostOnce,
        `call ${run.context.requestId} could be executed twice`,
    );
    const sentAtMs = clock.readMonotonicMs();
    const timeoutMs = Math.max(0, run.context.deadlineAtMs - sentAtMs);
    const { cancelled, context } = run;
    // A reused connection may be dead without notice; the outcome of a call sent on it would stay unknown.
    const options = { timeoutMs, cancelled, usesNewConnection: !context.isIdempotent };
    const answer = yield* waitFor(applications.callService(route.endpoint, id, run.call, options));
    run.executions.push(answer.isOk() ? Execution.Ran : answer.error.execution);
    run.excludedEndpointIds.push(route.endpoint.endpointId);
    routing.recordReport({
        kind: answer.isOk() ? AttemptReportKind.Finished : convertReportKind(answer.error),
        id,
        endpointId: route.endpoint.endpointId,
        elapsedMs: clock.readMonotonicMs() - sentAtMs,
        tokens: 0,
        failure: answer.isErr() ? answer.error : undefined,
    });
    return answer;
}

function convertReportKind(failure: Failure): AttemptReportKind {
    return failure.kind === FailureKind.Cancelled ? AttemptReportKind.Cancelled : AttemptReportKind.Failed;
}

function checkRetry(run: CallRun, failure: Failure, attempts: number): RetryRefusal | undefined {
    const { context, call, shared } = run;
    const hasStarted = failure.execution !== Execution.NotRun;
    const decision = decideRetry(
        {
            failure,
            hasSentBytes: hasStarted,
            isIdempotent: context.isIdempotent,
            attempts,
            deliveredTokens: 0,
            deadlineAtMs: context.deadlineAtMs,
        },
        shared.dependencies.clock.readMonotonicMs(),
    );
    if (!decision.isAllowed) {
        return decision.refusal;
    }
    const charge = hasStarted ? 1 : UNSENT_ATTEMPT_CHARGE;
    const isCharged = chargeRetryBudget(shared, context.className, call.serviceName, charge);
    return isCharged ? undefined : RetryRefusal.BudgetSpent;
}

function explainRefusal(failure: Failure, refusal: RetryRefusal, attempts: number): Failure {
    const isUnknown = refusal === RetryRefusal.NotIdempotent && failure.execution === Execution.Unknown;
    return {
        ...failure,
        kind: isUnknown ? FailureKind.OutcomeUnknown : failure.kind,
        details: { ...failure.details, attempts, refusal },
    };
}

function failCall(run: CallRun, failure: Failure): Answer {
    const execution = mergeExecutions(run.executions);
    assertInvariant(
        execution !== Execution.NotRun || run.executions.every(past => past === Execution.NotRun),
        Invariant.NotRunIsTrue,
        `${run.context.requestId} reported not_run after an attempt that may have run`,
    );
    return err({ ...failure, execution });
}

/** Records the outcome under the idempotency key; waits for the store at most `SETTLEMENT_TIMEOUT_MS`. */
function* recordOutcome(answer: Answer, claim: HeldClaim | undefined): TaskGenerator<void> {
    if (claim === undefined) {
        return;
    }
    if (answer.isOk()) {
        const outcome = encodeServiceOutcome(answer.value);
        yield* waitFor(claim.settle({ state: ClaimState.Ran, outcome }, SETTLEMENT_TIMEOUT_MS));
        return;
    }
    const state = answer.error.execution === Execution.NotRun ? ClaimState.NotRun : ClaimState.Unknown;
    yield* waitFor(claim.settle({ state }, SETTLEMENT_TIMEOUT_MS));
}
