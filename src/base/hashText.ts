/**
 * @module Fast hashing for placement. Never for secrets.
 */
import murmurhash from "murmurhash";

/**
 * Hashes a text to an unsigned 32-bit number (MurmurHash3).
 *
 * @param text - Any text
 * @param seed - Changes the hash function (default 0)
 * @returns A number from 0 to 4,294,967,295, the same on every machine
 * @example
 * hashText("runner-7|prefix-3");
 */
export function hashText(text: string, seed = 0): number {
    return murmurhash.v3(text, seed);
}
