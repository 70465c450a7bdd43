/**
 * @module Bearer keys of operators.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i;
/** Digits of a hash that tell operators' keys apart in logs. */
const FINGERPRINT_DIGITS = 12;

/**
 * Checks an operator's bearer key. Every hash is compared, each in constant time.
 *
 * @param authorization - The `Authorization` header
 * @param keyHashes - SHA-256 of each valid key, hexadecimal
 * @returns The first digits of the key's hash, for logs, or `Unauthenticated`
 * @example
 * authenticateOperator(request.headers.authorization, settings.operatorKeyHashes);
 */
export function authenticateOperator(
    authorization: string | undefined,
    keyHashes: readonly string[],
): Result<string, Failure> {
    const key = BEARER.exec(authorization ?? "")?.[1];
    if (key === undefined) {
        return err(createFailure(FailureKind.Unauthenticated, "Send an operator key as bearer key."));
    }
    const presented = createHash("sha256").update(key).digest();
    const matches = keyHashes.map(keyHash => {
        const stored = Buffer.from(keyHash, "hex");
        return stored.length === presented.length && timingSafeEqual(stored, presented);
    });
    return matches.includes(true)
        ? ok(presented.toString("hex").slice(0, FINGERPRINT_DIGITS))
        : err(createFailure(FailureKind.Unauthenticated, "The operator key is not known."));
}
