/**
 * @module Seeded random numbers.
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A stream of random numbers; the same seed gives the same stream. */
export interface Random {
    /** Draws a number in [0, 1). */
    drawFraction(): number;
    /** Draws a whole number between `low` and `high`, both included. */
    drawInteger(low: number, high: number): number;
}

/**
 * Creates a random stream from a seed.
 *
 * @param seed - Any whole number
 * @returns The stream
 * @example
 * const random = createRandom(42);
 * random.drawInteger(1, 6);
 */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return {
        drawFraction: () => uniformFloat64(generator),
        drawInteger: (low, high) => uniformInt(generator, low, high),
    };
}
