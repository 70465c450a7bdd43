/**
 * @module Calls to endpoints and the failures they end with.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { sendHttpCall, type HttpCall, type HttpOutcome, LossReason } from "./sendHttpCall";
import type { ConnectionPool } from "./createConnectionPool";
import type { HttpTarget } from "./httpTarget";

const LOSS_KINDS: Readonly<Record<LossReason, FailureKind>> = {
    [LossReason.Broken]: FailureKind.EndpointFailed,
    [LossReason.Silent]: FailureKind.EndpointSilent,
    [LossReason.Unusable]: FailureKind.EndpointFailed,
    [LossReason.Cancelled]: FailureKind.Cancelled,
};

/** A whole answer of an endpoint. */
export type EndpointAnswer = Extract<HttpOutcome, { readonly isAnswered: true }>;

/**
 * Sends a call to an endpoint.
 *
 * @param target - The endpoint
 * @param call - The call
 * @param pool - Kept connections; absent: a new connection
 * @returns The answer, whatever its status; a failure if there is none, `not_run` only if no byte can have left
 * @example
 * const answer = await sendEndpointCall(endpoint, { method: "GET", path: "/health" });
 */
export async function sendEndpointCall(
    target: HttpTarget,
    call: HttpCall,
    pool?: ConnectionPool,
): Promise<Result<EndpointAnswer, Failure>> {
    const outcome = await sendHttpCall(target, call, pool);
    if (outcome.isAnswered) {
        return ok(outcome);
    }
    const execution = outcome.hasSentBytes ? Execution.Unknown : Execution.NotRun;
    return err(createFailure(LOSS_KINDS[outcome.reason], outcome.message, { execution }));
}
