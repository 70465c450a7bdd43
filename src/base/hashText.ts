/**
 * @module Fast, non-cryptographic hashing, for example for placement. Not for secrets.
 */
import murmurhash from "murmurhash";

/**
 * Hashes a text to an unsigned 32-bit number (MurmurHash3).
 *
 * @param text - The text to hash
 * @param seed - Seed of the hash; different seeds give independent hash functions (default 0)
 * @returns A number from 0 to 4,294,967,295, the same on every machine
 * @example
 * hashText("runner-7|prefix-3");
 */
export function hashText(text: string, seed = 0): number {
    return murmurhash.v3(text, seed);
}
