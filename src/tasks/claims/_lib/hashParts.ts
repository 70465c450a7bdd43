/**
 * @module Hashes of claims: neither idempotency keys nor bodies stand in the table.
 */
import { createHash } from "node:crypto";

/**
 * Hashes texts and bytes, each with its length, so that no two different lists have the same hash.
 *
 * @param parts - What to hash
 * @returns SHA-256, lower-case hexadecimal
 * @example
 * hashClaim("account", "key");
 */
export function hashParts(...parts: readonly (string | Buffer)[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(`${Buffer.byteLength(part)}:`);
        hash.update(part);
    }
    return hash.digest("hex");
}
