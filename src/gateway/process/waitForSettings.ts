/**
 * @module Waits for the settings of a process that starts.
 */
import { setTimeout as waitMs } from "node:timers/promises";
import type { Result } from "neverthrow";
import type { Clock } from "../../base/clock";

const RETRY_PERIOD_MS = 100;
/** Whoever writes the file may be in the middle of it. */
const LIMIT_MS = 2_000;

/**
 * Reads the settings, and again while they can't be read.
 *
 * @param readSettings - Reads them
 * @param clock - Measures the time
 * @param pauseMs - Waits between two reads; default: by a timer that keeps the process alive
 * @returns The settings, or the last failure
 * @example
 * const settings = await waitForSettings(readSettings, createSystemClock());
 */
export async function waitForSettings<T, E>(
    readSettings: () => Result<T, E>,
    clock: Clock,
    pauseMs: (delayMs: number) => Promise<void> = waitMs,
): Promise<Result<T, E>> {
    const untilMs = clock.readMonotonicMs() + LIMIT_MS;
    for (;;) {
        const read = readSettings();
        if (read.isOk() || clock.readMonotonicMs() >= untilMs) {
            return read;
        }
        await pauseMs(RETRY_PERIOD_MS);
    }
}
