/**
 * @module One call to an application runner from admission to its outcome.
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
import { addRequest } from "./_lib/addRequest";
import { chargeBudget } from "./_lib/chargeBudget";
import { claimExecution, type ClaimPhase, ClaimPhaseKind, findExecution } from "./_lib/claimExecution";
import type { ExecutionShared } from "./_lib/executionShared";
import { decodeServiceOutcome, encodeServiceOutcome } from "./_lib/outcomeText";
import { ROUTE_SEGMENTS, SETTLEMENT_WAIT_MS } from "./constants";

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
 * Runs a service call. A call that may not be repeated is claimed before its first byte is sent, and is sent to another
 * endpoint only if the one before provably did not start it.
 *
 * @param shared - What the node's executions share
 * @param context - Who asks, and by when
 * @param call - The call
 * @param cancelled - Aborted when the caller goes
 * @returns The answer, or a failure that says what is known about execution
 * @example
 * const answer = yield* runServiceCall(shared, context, call, cancelled);
 */
export function* runServiceCall(
    shared: ExecutionShared,
    context: RequestContext,
    call: ServiceCall,
    cancelled: AbortSignal,
): TaskGenerator<Answer> {
    const body = describeBody(call);
    const found = yield* findExecution(shared, context, body);
    if (found.kind !== ClaimPhaseKind.Proceed) {
        return convertPhase(found);
    }
    const { admission } = shared.parts;
    const { requestId } = context;
    const size = { promptTokens: 1, maximumTokens: 0 };
    const asked = admission.requestAdmission({ context, serviceName: call.serviceName, ...size });
    const admitted = yield* waitFor(asked);
    if (admitted.isErr()) {
        return err({ ...admitted.error, execution: Execution.NotRun });
    }
    addRequest(shared, context.className, call.serviceName);
    const claimed = yield* claimExecution(shared, context, body);
    if (claimed.kind !== ClaimPhaseKind.Proceed) {
        admission.finishRequest(requestId, 0);
        return convertPhase(claimed);
    }
    const run = { shared, context, call, cancelled, executions: [], excludedEndpointIds: [] };
    const answer = yield* runAttempts(run);
    admission.finishRequest(requestId, 1);
    yield* recordOutcome(answer, claimed.claim);
    return answer;
}

function describeBody(call: ServiceCall): Buffer {
    return Buffer.concat([Buffer.from(JSON.stringify([call.serviceName, call.method, call.path])), call.body]);
}

function convertPhase(phase: Exclude<ClaimPhase, { readonly kind: ClaimPhaseKind.Proceed }>): Answer {
    if (phase.kind === ClaimPhaseKind.Refused) {
        return err(phase.failure);
    }
    const answer = decodeServiceOutcome(phase.outcome);
    const message = "The recorded outcome can't be read.";
    return answer === undefined
        ? err(createFailure(FailureKind.OutcomeUnknown, message, { execution: Execution.Ran }))
        : ok(answer);
}

function* runAttempts(run: CallRun): TaskGenerator<Answer> {
    const { clock, routing } = run.shared.parts;
    for (let attempt = 1; ; attempt++) {
        if (run.cancelled.aborted) {
            return fail(run, createFailure(FailureKind.Cancelled, "The caller cancelled."));
        }
        if (clock.readMonotonicMs() >= run.context.deadlineAtMs) {
            return fail(run, createFailure(FailureKind.DeadlineExceeded, "No time is left for an attempt."));
        }
        const id: AttemptId = { requestId: run.context.requestId, attempt };
        const route = yield* waitFor(routing.chooseEndpoint(buildQuery(run, id)));
        if (route.isErr()) {
            return fail(run, route.error);
        }
        const answer = yield* runAttempt(run, id, route.value);
        if (answer.isOk()) {
            return answer;
        }
        const refusal = checkRetry(run, answer.error, attempt);
        if (refusal !== undefined) {
            return fail(run, explainRefusal(answer.error, refusal, attempt));
        }
    }
}

function buildQuery(run: CallRun, id: AttemptId) {
    const [path = "/"] = run.call.path.split("?");
    return {
        id,
        context: run.context,
        serviceName: run.call.serviceName,
        route: path
            .split("/")
            .slice(0, ROUTE_SEGMENTS + 1)
            .join("/"),
        prefixHashes: [],
        promptTokens: 0,
        maximumTokens: 0,
        excludedEndpointIds: [...run.excludedEndpointIds],
    };
}

function* runAttempt(run: CallRun, id: AttemptId, route: RouteDecision): TaskGenerator<Answer> {
    const { applications, clock, routing } = run.shared.parts;
    const isFirst = run.executions.every(execution => execution === Execution.NotRun);
    assertInvariant(
        run.context.isIdempotent || isFirst,
        Invariant.AtMostOnce,
        `call ${run.context.requestId} would be executed again`,
    );
    const sentAtMs = clock.readMonotonicMs();
    const timeoutMs = Math.max(0, run.context.deadlineAtMs - sentAtMs);
    const { cancelled, context } = run;
    // A kept connection may be dead without a sign; the outcome of a call sent on it would stay unknown.
    const options = { timeoutMs, cancelled, usesNewConnection: !context.isIdempotent };
    const answer = yield* waitFor(applications.callService(route.endpoint, id, run.call, options));
    run.executions.push(answer.isOk() ? Execution.Ran : answer.error.execution);
    run.excludedEndpointIds.push(route.endpoint.endpointId);
    routing.recordReport({
        kind: answer.isOk() ? AttemptReportKind.Finished : toReportKind(answer.error),
        id,
        endpointId: route.endpoint.endpointId,
        elapsedMs: clock.readMonotonicMs() - sentAtMs,
        tokens: 0,
        failure: answer.isErr() ? answer.error : undefined,
    });
    return answer;
}

function toReportKind(failure: Failure): AttemptReportKind {
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
        shared.parts.clock.readMonotonicMs(),
    );
    if (!decision.isAllowed) {
        return decision.refusal;
    }
    const charge = hasStarted ? 1 : UNSENT_ATTEMPT_CHARGE;
    const isCharged = chargeBudget(shared, context.className, call.serviceName, charge);
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

function fail(run: CallRun, failure: Failure): Answer {
    const execution = mergeExecutions(run.executions);
    assertInvariant(
        execution !== Execution.NotRun || run.executions.every(past => past === Execution.NotRun),
        Invariant.NotRunIsTrue,
        `${run.context.requestId} told not_run after an attempt that may have run`,
    );
    return err({ ...failure, execution });
}

/** Records the outcome under the idempotency key before the caller sees it, if the store answers soon. */
function* recordOutcome(answer: Answer, claim: HeldClaim | undefined): TaskGenerator<void> {
    if (claim === undefined) {
        return;
    }
    if (answer.isOk()) {
        const outcome = encodeServiceOutcome(answer.value);
        yield* waitFor(claim.settle({ state: ClaimState.Ran, outcome }, SETTLEMENT_WAIT_MS));
        return;
    }
    const state = answer.error.execution === Execution.NotRun ? ClaimState.NotRun : ClaimState.Unknown;
    yield* waitFor(claim.settle({ state }, SETTLEMENT_WAIT_MS));
}
