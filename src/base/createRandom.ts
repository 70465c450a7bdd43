/**
 * @module Creates seeded random number streams.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { buildRandom } from "./_lib/buildRandom";
import type { Random } from "./random";

export type { Random } from "./random";

/**
 * Creates a random number stream from a seed; equal seeds give equal streams.
 *
 * @param seed - Any whole number
 * @returns The stream
 * @example
 * const random = createRandom(42);
 * random.drawInteger(1, 6);
 */
export function createRandom(seed: number): Random {
    return buildRandom(xoroshiro128plus(seed));
}
