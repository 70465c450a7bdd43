/**
 * @module Combining hashes for rendezvous hashing.
 */

/**
 * Mixes two 32-bit hashes into one. This is much cheaper than hashing a concatenated string for each of many endpoints.
 */
export function hashPair(left: number, right: number): number {
    let mixed = Math.imul(left ^ right, 0x9e3779b1);
    mixed = Math.imul(mixed ^ (mixed >>> 15), 0x85ebca77);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae3d);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
