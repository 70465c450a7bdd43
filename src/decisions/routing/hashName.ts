/**
 * @module Short names in digests.
 */
import { hashText } from "../../base/hashText";

/**
 * Hashes the name of a service or failure domain to 16 bits. Two names that collide share their load figures, which
 * makes an estimate worse and breaks nothing.
 *
 * @param name - The name
 * @returns 0 to 65,535
 * @example
 * hashName("hobart-a");
 */
export function hashName(name: string): number {
    return hashText(name) & 0xffff;
}
