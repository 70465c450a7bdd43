/**
 * @module The interface of random number streams.
 */

/** A stream of random numbers. A seeded stream always gives the same numbers for the same seed. */
export interface Random {
    /** Draws a number from 0 (inclusive) to 1 (exclusive). */
    drawFraction(): number;
    /** Draws a whole number between `low` and `high`, both inclusive. */
    drawInteger(low: number, high: number): number;
}
