/**
 * @module Letting tasks run on a manual clock.
 */
import type { ManualClock } from "../../base/createManualClock";

const TURNS_PER_STEP = 4;

/** Advances the clock in steps and lets every task act after each of them. */
export async function runClock(clock: ManualClock, durationMs: number, stepMs = 50): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
        clock.advanceMs(Math.min(stepMs, durationMs - passedMs));
        for (let turn = 0; turn < TURNS_PER_STEP; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }
}

/** Runs the clock until a promise settles, for at most `limitMs`. */
export async function runUntilSettled<T>(clock: ManualClock, promise: Promise<T>, limitMs = 120_000): Promise<T> {
    let isSettled = false;
    void promise.finally(() => {
        isSettled = true;
    });
    for (let passedMs = 0; passedMs < limitMs && !isSettled; passedMs += 50) {
        await runClock(clock, 50);
    }
    return promise;
}
