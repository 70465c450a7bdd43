/**
 * @module Reads the failure that a node answers.
 */
import { Execution, type Failure, FailureKind } from "../../base/failure";

/**
 * Converts the body of an answer whose status says that it is a failure.
 *
 * @param status - The HTTP status
 * @param body - The body
 * @returns The failure; `undefined` if the body is not a JSON object
 * @example
 * convertFailureBody(404, body)?.kind; //=> FailureKind.NotFound
 */
export function convertFailureBody(status: number, body: Buffer): Failure | undefined {
    const parsed = parseBody(body);
    return parsed === undefined ? undefined : convertFailure(status, parsed);
}

/**
 * Parses the body of an answer.
 *
 * @param body - The body
 * @returns The JSON object; `undefined` if the body is something else
 * @example
 * parseBody(Buffer.from("{}")); //=> {}
 */
export function parseBody(body: Buffer): object | undefined {
    try {
        const value: unknown = JSON.parse(body.toString("utf8"));
        return typeof value === "object" && value ? value : undefined;
    } catch {
        return undefined;
    }
}

function convertFailure(status: number, body: object): Failure {
    const { error: found } = body as { readonly error?: unknown };
    const error = typeof found === "object" && found ? (found as Readonly<Record<string, unknown>>) : {};
    const kind = Object.values(FailureKind).find(known => known === error["type"]) ?? FailureKind.Internal;
    const message = typeof error["message"] === "string" ? error["message"] : `HTTP ${status}`;
    const execution = Object.values(Execution).find(known => known === error["execution"]) ?? Execution.Unknown;
    const details = error["details"] as Failure["details"];
    const retryAfterMs = typeof error["retry_after_ms"] === "number" ? error["retry_after_ms"] : undefined;
    return { kind, message, execution, details, retryAfterMs };
}
