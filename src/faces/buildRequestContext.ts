/**
 * @module Turning a caller's headers into the context of a request.
 */
import type { IncomingHttpHeaders } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { Account, Configuration } from "../model/configuration";
import type { RequestContext } from "../model/request";
import { LONGEST_IDEMPOTENCY_KEY_CHARACTERS } from "./constants";

const IDEMPOTENCY_KEY = /^[\x20-\x7e]+$/;

/**
 * Builds the context of a request: its class by header or account default, its idempotency key and its times.
 *
 * @param headers - The caller's headers
 * @param account - The authenticated account
 * @param configuration - The configuration in force
 * @param request - The request's id and when it arrived (monotonic milliseconds)
 * @returns The context, or `UnknownClass` or `InvalidRequest`
 * @example
 * buildRequestContext(request.headers, account, configuration, { requestId, receivedAtMs });
 */
export function buildRequestContext(
    headers: IncomingHttpHeaders,
    account: Account,
    configuration: Configuration,
    request: { readonly requestId: string; readonly receivedAtMs: number },
): Result<RequestContext, Failure> {
    const className = String(headers["redwinglift-class"] ?? account.defaultClass);
    const workClass = Object.hasOwn(configuration.classes, className) ? configuration.classes[className] : undefined;
    if (workClass === undefined) {
        return err(createFailure(FailureKind.UnknownClass, `There is no class named ${JSON.stringify(className)}.`));
    }
    const idempotencyKey = parseIdempotencyKey(headers["idempotency-key"]);
    if (idempotencyKey.isErr()) {
        return err(idempotencyKey.error);
    }
    return ok({
        requestId: request.requestId,
        accountName: account.name,
        className,
        isIdempotent: workClass.isIdempotent,
        idempotencyKey: idempotencyKey.value,
        acceptedAtMs: request.receivedAtMs,
        firstTokenDueAtMs: request.receivedAtMs + workClass.latencyTargetMs,
        deadlineAtMs: request.receivedAtMs + workClass.deadlineMs,
    });
}

// The IETF draft writes the key as a quoted string; many clients send it bare. Both name the same key.
function parseIdempotencyKey(header: string | string[] | undefined): Result<string | undefined, Failure> {
    if (header === undefined) {
        return ok(undefined);
    }
    const text = String(header);
    const key = text.length >= 2 && text.startsWith('"') && text.endsWith('"') ? text.slice(1, -1) : text;
    if (key.length > LONGEST_IDEMPOTENCY_KEY_CHARACTERS || !IDEMPOTENCY_KEY.test(key)) {
        const message = `Idempotency-Key must have 1 to ${LONGEST_IDEMPOTENCY_KEY_CHARACTERS} printable characters.`;
        return err(createFailure(FailureKind.InvalidRequest, message));
    }
    return ok(key);
}
