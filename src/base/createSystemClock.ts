/**
 * @module The clock of the machine that the process runs on.
 */
import type { Clock } from "./clock";

/**
 * Creates a clock that reads the machine's monotonic and wall clocks. A pending wait does not keep the process alive,
 * so that periodic work does not delay its exit; open listeners and connections do.
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
        waitMs: delayMs => new Promise(resolve => setTimeout(resolve, Math.max(0, delayMs)).unref()),
    };
}
