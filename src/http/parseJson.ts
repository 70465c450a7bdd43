/**
 * @module Parses JSON from untrusted bytes.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";

/**
 * Decodes a body as UTF-8, without replacing invalid bytes, and parses it as JSON.
 *
 * @param body - The bytes of the body
 * @returns The value, or `InvalidText` (invalid UTF-8) or `MalformedBody` (invalid JSON)
 * @example
 * parseJson(Buffer.from("{}")); //=> ok({})
 */
export function parseJson(body: Buffer): Result<unknown, Failure> {
    const text = decodeText(body);
    if (text === undefined) {
        return err(createFailure(FailureKind.InvalidText, "The body is not valid UTF-8."));
    }
    try {
        return ok(JSON.parse(text) as unknown);
    } catch {
        return err(createFailure(FailureKind.MalformedBody, "The body is not valid JSON."));
    }
}

function decodeText(body: Buffer): string | undefined {
    try {
        return new TextDecoder("utf-8", { fatal: true }).decode(body);
    } catch {
        return undefined;
    }
}
