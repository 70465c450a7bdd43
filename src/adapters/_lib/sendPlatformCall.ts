/**
 * @module Calls to the platform and the failures they end with.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import { sendHttpCall, type CallTimeouts, type HttpCall, type HttpOutcome } from "./sendHttpCall";
import type { ConnectionPool } from "./createConnectionPool";
import type { HttpTarget } from "./httpTarget";
import { HttpStatus } from "./httpStatus";

/** A regular answer of the platform, also with a status that says no. */
export interface PlatformAnswer {
    readonly status: number;
    readonly body: Buffer;
}

/** Where the platform is and how to reach it. */
export interface PlatformConnection {
    readonly target: HttpTarget;
    readonly pool: ConnectionPool;
    readonly timeouts?: CallTimeouts;
}

const NOTHING_TOOK_EFFECT = /"effect"\s*:\s*"none"/;

/**
 * Sends a call to the platform. A lost answer of a call with an effect becomes `StoreOutcomeUnknown`, unless no byte
 * can have left or the platform says that nothing took effect; then, and for reads, it becomes `StoreUnavailable`.
 *
 * @param connection - Where to send it
 * @param call - The call
 * @returns The answer (status below 500, not 429), or the failure
 * @example
 * const answer = await sendPlatformCall(connection, { method: "GET", path: "/vms" });
 */
export async function sendPlatformCall(
    connection: PlatformConnection,
    call: HttpCall,
): Promise<Result<PlatformAnswer, Failure>> {
    const timeouts = connection.timeouts;
    const outcome = await sendHttpCall(connection.target, { ...call, timeouts }, connection.pool);
    if (
        outcome.isAnswered &&
        outcome.status < HttpStatus.InternalServerError &&
        outcome.status !== HttpStatus.TooManyRequests
    ) {
        return ok({ status: outcome.status, body: outcome.body });
    }
    const kind =
        call.method === "GET" || isWithoutEffect(outcome)
            ? FailureKind.StoreUnavailable
            : FailureKind.StoreOutcomeUnknown;
    return err(createFailure(kind, describeOutcome(outcome), { retryAfterMs: readRetryAfterMs(outcome) }));
}

function isWithoutEffect(outcome: HttpOutcome): boolean {
    return outcome.isAnswered
        ? outcome.status === HttpStatus.TooManyRequests || NOTHING_TOOK_EFFECT.test(outcome.body.toString("utf8"))
        : !outcome.hasSentBytes;
}

function describeOutcome(outcome: HttpOutcome): string {
    return outcome.isAnswered
        ? `The platform answered with status ${outcome.status}.`
        : `The platform did not answer: ${outcome.message}`;
}

function readRetryAfterMs(outcome: HttpOutcome): number | undefined {
    const milliseconds = outcome.isAnswered ? outcome.headers["retry-after-ms"] : undefined;
    return milliseconds === undefined ? undefined : Number(milliseconds);
}
