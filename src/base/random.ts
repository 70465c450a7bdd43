/**
 * @module Random numbers, as decisions and tasks receive them.
 */

/** A stream of random numbers; the same seed gives the same stream. */
export interface Random {
    /** Draws a number in [0, 1). */
    drawFraction(): number;
    /** Draws a whole number between `low` and `high`, both included. */
    drawInteger(low: number, high: number): number;
}
