/**
 * @module Claims idempotency keys for chat requests and service calls that may not be executed twice.
 */
import type { Result } from "neverthrow";
import { createFailure } from "../../../base/createFailure";
import { type TaskGenerator, waitFor } from "../../../base/csp";
import { type Failure, FailureKind } from "../../../base/failure";
import { Metric } from "../../../base/metrics/metric";
import type { RequestContext } from "../../../model/request";
import {
    type ClaimResult,
    ClaimResultKind,
    type ClaimClient,
    type ClaimRequest,
    type HeldClaim,
} from "../../claims/claimClient";
import type { ExecutionShared } from "./executionShared";

/** How a request continues after its idempotency key was checked or claimed. */
export enum ClaimCheckKind {
    Proceed = "proceed",
    /** An earlier request under the key was executed; its recorded outcome is returned. */
    Replay = "replay",
    Refused = "refused",
}

/** How a request continues, with the claim, outcome or failure that this needs. */
export type ClaimCheck =
    | { readonly kind: ClaimCheckKind.Proceed; readonly claim?: HeldClaim }
    | { readonly kind: ClaimCheckKind.Replay; readonly outcome: string }
    | { readonly kind: ClaimCheckKind.Refused; readonly failure: Failure };

/**
 * Looks up the key of a request before admission, so that a recorded outcome is returned even under overload. Requests of
 * idempotent classes need no key; theirs is ignored. If the store is unavailable, the request proceeds to admission, and
 * its claim decides.
 *
 * @param shared - State shared by the node's executions
 * @param context - The request
 * @param body - The request's canonical encoding; its hash detects a reused key
 * @returns How the request continues; no claim is held yet
 * @example
 * const check = yield* findRecordedOutcome(shared, context, body);
 */
export function* findRecordedOutcome(
    shared: ExecutionShared,
    context: RequestContext,
    body: string | Buffer,
): TaskGenerator<ClaimCheck> {
    if (context.isIdempotent) {
        return { kind: ClaimCheckKind.Proceed };
    }
    if (context.idempotencyKey === undefined) {
        const message = `Class ${context.className} may not be executed twice; it needs an Idempotency-Key.`;
        return refuse(createFailure(FailureKind.IdempotencyKeyRequired, message));
    }
    const { claims } = shared.dependencies;
    if (claims === undefined) {
        return refuse(createFailure(FailureKind.StoreUnavailable, "This node has no claim store."));
    }
    const answer = yield* waitFor(claims.lookUpKey(buildClaimRequest(context, body)));
    const isStoreDown = answer.isErr() && answer.error.kind === FailureKind.StoreUnavailable;
    return isStoreDown ? { kind: ClaimCheckKind.Proceed } : convertClaimAnswer(answer);
}

/**
 * Claims the execution of a request. Must succeed before the first byte is sent.
 *
 * @param shared - State shared by the node's executions
 * @param context - The request, which has passed `findRecordedOutcome`
 * @param body - The request's canonical encoding; its hash detects a reused key
 * @returns How the request continues, with the claim unless its class is idempotent
 * @example
 * const check = yield* claimExecution(shared, context, body);
 */
export function* claimExecution(
    shared: ExecutionShared,
    context: RequestContext,
    body: string | Buffer,
): TaskGenerator<ClaimCheck> {
    if (context.isIdempotent) {
        return { kind: ClaimCheckKind.Proceed };
    }
    const claims = shared.dependencies.claims as ClaimClient;
    const check = convertClaimAnswer(yield* waitFor(claims.acquireClaim(buildClaimRequest(context, body))));
    shared.dependencies.metrics?.count(Metric.ClaimsMade, { outcome: check.kind });
    if (check.kind === ClaimCheckKind.Refused && check.failure.kind === FailureKind.OutcomeUnknown) {
        shared.dependencies.metrics?.count(Metric.ClaimsUnknown);
    }
    return check;
}

function buildClaimRequest(context: RequestContext, body: string | Buffer): ClaimRequest {
    return {
        accountName: context.accountName,
        idempotencyKey: context.idempotencyKey as string,
        requestId: context.requestId,
        body,
        deadlineAtMs: context.deadlineAtMs,
        waitUntilMs: Math.min(context.firstTokenDueAtMs, context.deadlineAtMs),
    };
}

function convertClaimAnswer(answer: Result<ClaimResult, Failure>): ClaimCheck {
    if (answer.isErr()) {
        return refuse(answer.error);
    }
    switch (answer.value.kind) {
        case ClaimResultKind.Free:
            return { kind: ClaimCheckKind.Proceed };
        case ClaimResultKind.Held:
            return { kind: ClaimCheckKind.Proceed, claim: answer.value.claim };
        case ClaimResultKind.Replay:
            return { kind: ClaimCheckKind.Replay, outcome: answer.value.outcome };
    }
}

function refuse(failure: Failure): ClaimCheck {
    return { kind: ClaimCheckKind.Refused, failure };
}
