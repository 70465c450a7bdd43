/**
 * @module The clock of a real process.
 */
import type { Clock } from "./clock";

/**
 * Creates a clock over the machine's monotonic and wall clocks.
 *
 * @returns A clock whose waits are real timers
 * @example
 * const clock = createSystemClock();
 * const startedMs = clock.readMonotonicMs();
 */
export function createSystemClock(): Clock {
    return {
        readMonotonicMs: () => performance.now(),
        readWallMs: () => Date.now(),
        waitMs: delayMs => new Promise(resolve => setTimeout(resolve, Math.max(0, delayMs))),
    };
}
