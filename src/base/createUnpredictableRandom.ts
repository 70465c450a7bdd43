/**
 * @module Random numbers that nobody can repeat.
 */
import { randomBytes } from "node:crypto";
import { xoroshiro128plusFromState } from "pure-rand/generator/xoroshiro128plus";
import { buildRandom } from "./_lib/buildRandom";
import type { Random } from "./random";

/**
 * Creates a random stream from 128 bits of the system's entropy, so that ids drawn from it on different nodes, or after
 * a restart, do not meet.
 *
 * @returns The stream
 * @example
 * const random = createUnpredictableRandom();
 */
export function createUnpredictableRandom(): Random {
    const entropy = randomBytes(16);
    return buildRandom(xoroshiro128plusFromState([0, 4, 8, 12].map(offset => entropy.readInt32LE(offset))));
}
