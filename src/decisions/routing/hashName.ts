/**
 * @module Short hashes of names in digests.
 */
import { hashText } from "../../base/hashText";

/**
 * Hashes the name of a service or failure domain to 16 bits. Names that collide share their load figures, which makes
 * estimates less accurate but has no other effect.
 *
 * @param name - The name
 * @returns 0 to 65,535
 * @example
 * hashName("hobart-a");
 */
export function hashName(name: string): number {
    return hashText(name) & 0xffff;
}
