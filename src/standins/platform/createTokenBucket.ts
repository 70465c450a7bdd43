/**
 * @module Rate limits of the platform stand-in.
 */

/** A rate limit with a burst of one second's worth. */
export interface TokenBucket {
    /** Takes one unit; false where the rate is used up. */
    takeUnit(nowMs: number): boolean;
}

/**
 * Creates a rate limit.
 *
 * @param unitsPerSecond - Units a second, and the most that can be saved up
 * @returns The limit, full
 * @example
 * const writes = createTokenBucket(400);
 * writes.takeUnit(nowMs);
 */
export function createTokenBucket(unitsPerSecond: number): TokenBucket {
    let units = unitsPerSecond;
    let updatedAtMs = 0;
    return {
        takeUnit: nowMs => {
            units = Math.min(unitsPerSecond, units + ((nowMs - updatedAtMs) * unitsPerSecond) / 1000);
            updatedAtMs = nowMs;
            if (units < 1) {
                return false;
            }
            units--;
            return true;
        },
    };
}
