/**
 * @module New bearer keys.
 */
import { createHash } from "node:crypto";

/** Every key begins with this, so that logs and secret scanners can recognise one. */
const KEY_PREFIX = "rwl_";
/** Bytes of randomness in a key. */
export const KEY_RANDOM_BYTES = 32;

/** A new key. Only its hash is stored. */
export interface NewKey {
    /** Shown once to the person who asked for it. */
    readonly key: string;
    /** SHA-256, lower-case hexadecimal. */
    readonly keyHash: string;
}

/**
 * Creates a bearer key from random bytes.
 *
 * @param randomBytes - At least `KEY_RANDOM_BYTES` bytes of a cryptographic source
 * @returns The key and its hash
 * @example
 * createAccountKey(crypto.randomBytes(KEY_RANDOM_BYTES));
 */
export function createAccountKey(randomBytes: Buffer): NewKey {
    const key = `${KEY_PREFIX}${randomBytes.toString("base64url")}`;
    return { key, keyHash: createHash("sha256").update(key).digest("hex") };
}
