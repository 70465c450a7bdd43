/**
 * @module Runs tasks in virtual time.
 */
import type { ManualClock } from "../../../base/createManualClock";

const STEP_MS = 5;
const FLUSHES_PER_STEP = 6;

/**
 * Advances a manual clock in small steps and lets all tasks run in between, until a promise has settled.
 *
 * @param clock - The clock
 * @param promise - The promise to wait for
 * @param limitMs - Virtual milliseconds after which the wait fails (default 600,000)
 * @returns The promise's value
 * @example
 * const answer = await runVirtualTime(clock, execution.callService(context, call, signal));
 */
export async function runVirtualTime<T>(clock: ManualClock, promise: Promise<T>, limitMs = 600_000): Promise<T> {
    let isSettled = false;
    const settled = promise.finally(() => {
        isSettled = true;
    });
    settled.catch(() => undefined);
    const timeoutAtMs = clock.readMonotonicMs() + limitMs;
    await flushTasks();
    while (!isSettled) {
        if (clock.readMonotonicMs() > timeoutAtMs) {
            throw new Error(`The promise did not settle within ${limitMs} virtual milliseconds.`);
        }
        clock.advanceMs(STEP_MS);
        await flushTasks();
    }
    return settled;
}

/**
 * Lets tasks and promises run without advancing the clock.
 *
 * @returns Resolves once they have run
 * @example
 * await flushTasks();
 */
export async function flushTasks(): Promise<void> {
    for (let flush = 0; flush < FLUSHES_PER_STEP; flush++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
