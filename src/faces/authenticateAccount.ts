/**
 * @module Bearer keys of accounts.
 */
import { createHash, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { Account } from "../model/configuration";

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i;

/**
 * Finds the account that a request's bearer key belongs to. Every stored hash is compared, each in constant time, so
 * that the time taken says nothing about the key.
 *
 * @param authorization - The `Authorization` header
 * @param accounts - All accounts
 * @returns The account, or `Unauthenticated`
 * @example
 * authenticateAccount("Bearer rwl_abc", Object.values(configuration.accounts));
 */
export function authenticateAccount(
    authorization: string | undefined,
    accounts: readonly Account[],
): Result<Account, Failure> {
    const key = BEARER.exec(authorization ?? "")?.[1];
    if (key === undefined) {
        return err(createFailure(FailureKind.Unauthenticated, "Send a bearer key in the Authorization header."));
    }
    const presented = createHash("sha256").update(key).digest();
    let found: Account | undefined;
    for (const account of accounts) {
        for (const keyHash of account.keyHashes) {
            const stored = Buffer.from(keyHash, "hex");
            if (stored.length === presented.length && timingSafeEqual(stored, presented)) {
                found = account;
            }
        }
    }
    return found === undefined ? err(createFailure(FailureKind.Unauthenticated, "The key is not known.")) : ok(found);
}
