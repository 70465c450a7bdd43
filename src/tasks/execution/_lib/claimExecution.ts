/**
 * @module Claims of requests that may not be executed twice, for chats and service calls alike.
 */
import type { Result } from "neverthrow";
import { createFailure } from "../../../base/createFailure";
import { type Step, waitFor } from "../../../base/csp";
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

/** How a request goes on. */
export enum ClaimPhaseKind {
    Proceed = "proceed",
    /** An earlier request under the key was executed; its outcome is given again. */
    Replay = "replay",
    Refused = "refused",
}

/** How a request goes on, with what it needs for that. */
export type ClaimPhase =
    | { readonly kind: ClaimPhaseKind.Proceed; readonly claim?: HeldClaim }
    | { readonly kind: ClaimPhaseKind.Replay; readonly outcome: string }
    | { readonly kind: ClaimPhaseKind.Refused; readonly failure: Failure };

/**
 * Looks the key of a request up before it is admitted, so that an outcome is given again also under load. Requests of
 * idempotent classes need no key, and theirs is not looked at.
 *
 * @param shared - The node's claims
 * @param context - The request
 * @param body - What it asks for, in a fixed form
 * @returns How it goes on; it holds no claim yet
 * @example
 * const phase = yield* findExecution(shared, context, body);
 */
export function* findExecution(
    shared: ExecutionShared,
    context: RequestContext,
    body: string | Buffer,
): Step<ClaimPhase> {
    if (context.isIdempotent) {
        return { kind: ClaimPhaseKind.Proceed };
    }
    if (context.idempotencyKey === undefined) {
        const message = `Class ${context.className} may not be executed twice; it needs an Idempotency-Key.`;
        return refuse(createFailure(FailureKind.IdempotencyKeyRequired, message));
    }
    const { claims } = shared.parts;
    if (claims === undefined) {
        return refuse(createFailure(FailureKind.StoreUnavailable, "This node keeps no claims."));
    }
    const found = yield* waitFor(claims.lookUpKey(buildClaimRequest(context, body)));
    const isStoreDown = found.isErr() && found.error.kind === FailureKind.StoreUnavailable;
    return isStoreDown ? { kind: ClaimPhaseKind.Proceed } : convertAnswer(found);
}

/**
 * Claims the execution of a request. Must succeed before the first byte is sent.
 *
 * @param shared - The node's claims
 * @param context - The request, which has passed `findExecution`
 * @param body - What it asks for, in a fixed form
 * @returns How it goes on, with the claim unless its class is idempotent
 * @example
 * const phase = yield* claimExecution(shared, context, body);
 */
export function* claimExecution(
    shared: ExecutionShared,
    context: RequestContext,
    body: string | Buffer,
): Step<ClaimPhase> {
    if (context.isIdempotent) {
        return { kind: ClaimPhaseKind.Proceed };
    }
    const claims = shared.parts.claims as ClaimClient;
    const phase = convertAnswer(yield* waitFor(claims.acquireClaim(buildClaimRequest(context, body))));
    shared.parts.metrics?.count(Metric.ClaimsMade, { outcome: phase.kind });
    if (phase.kind === ClaimPhaseKind.Refused && phase.failure.kind === FailureKind.OutcomeUnknown) {
        shared.parts.metrics?.count(Metric.ClaimsUnknown);
    }
    return phase;
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

function convertAnswer(answer: Result<ClaimResult, Failure>): ClaimPhase {
    if (answer.isErr()) {
        return refuse(answer.error);
    }
    switch (answer.value.kind) {
        case ClaimResultKind.Free:
            return { kind: ClaimPhaseKind.Proceed };
        case ClaimResultKind.Held:
            return { kind: ClaimPhaseKind.Proceed, claim: answer.value.claim };
        case ClaimResultKind.Replay:
            return { kind: ClaimPhaseKind.Replay, outcome: answer.value.outcome };
    }
}

function refuse(failure: Failure): ClaimPhase {
    return { kind: ClaimPhaseKind.Refused, failure };
}
