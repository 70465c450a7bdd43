/**
 * @module Hashes idempotency keys and request bodies, so that the table contains neither in clear text.
 */
import { createHash } from "node:crypto";

/**
 * Hashes a list of texts and buffers. Each is preceded by its length, so that different lists with the same
 * concatenation have different hashes.
 *
 * @param parts - Texts and buffers to hash
 * @returns SHA-256 hash in lower-case hexadecimal
 * @example
 * hashParts("account", "key");
 */
export function hashParts(...parts: readonly (string | Buffer)[]): string {
    const hash = createHash("sha256");
    for (const part of parts) {
        hash.update(`${Buffer.byteLength(part)}:`);
        hash.update(part);
    }
    return hash.digest("hex");
}
