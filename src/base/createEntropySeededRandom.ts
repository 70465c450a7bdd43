/**
 * @module Random number streams seeded from system entropy.
 */
import { randomBytes } from "node:crypto";
import { xoroshiro128plusFromState } from "pure-rand/generator/xoroshiro128plus";
import { buildRandom } from "./_lib/buildRandom";
import type { Random } from "./random";

/**
 * Creates a random number stream seeded with 128 bits of system entropy, so that ids drawn from it on different nodes,
 * or after a restart, do not collide. The generator is not cryptographically secure.
 *
 * @returns The stream
 * @example
 * const random = createEntropySeededRandom();
 */
export function createEntropySeededRandom(): Random {
    const entropy = randomBytes(16);
    return buildRandom(xoroshiro128plusFromState([0, 4, 8, 12].map(offset => entropy.readInt32LE(offset))));
}
