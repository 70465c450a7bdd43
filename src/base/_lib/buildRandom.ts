/**
 * @module Builds a random number stream on top of a pure-rand generator.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Random } from "../random";

/**
 * Builds a random number stream.
 *
 * @param generator - Source of the numbers; each draw advances its state
 * @returns The stream
 * @example
 * buildRandom(xoroshiro128plus(42));
 */
export function buildRandom(generator: RandomGenerator): Random {
    return {
        drawFraction: () => uniformFloat64(generator),
        drawInteger: (low, high) => uniformInt(generator, low, high),
    };
}
