/**
 * @module A clock for tests and simulations that advances only on request.
 */
import type { Clock } from "./clock";

/** A pending `waitMs` call. */
interface Sleeper {
    readonly wakeAtMs: number;
    readonly resolve: () => void;
}

/**
 * A clock whose time is advanced explicitly.
 */
export interface ManualClock extends Clock {
    /** Advances the time by `stepMs` and resolves every wait that is due, earliest first. */
    advanceMs(stepMs: number): void;
}

/**
 * Creates a clock that starts at the given wall time and advances only by `advanceMs`.
 *
 * @param options - `startWallMs`: initial wall time in milliseconds since the Unix epoch (default 1,700,000,000,000)
 * @returns The manual clock
 * @example
 * const clock = createManualClock();
 * clock.advanceMs(250);
 * clock.readMonotonicMs(); //=> 250
 */
export function createManualClock(options: { readonly startWallMs?: number } = {}): ManualClock {
    const startWallMs = options.startWallMs ?? 1_700_000_000_000;
    let nowMs = 0;
    let sleepers: readonly Sleeper[] = [];
    return {
        readMonotonicMs: () => nowMs,
        readWallMs: () => startWallMs + nowMs,
        waitMs: delayMs =>
            new Promise(resolve => {
                sleepers = [...sleepers, { wakeAtMs: nowMs + Math.max(0, delayMs), resolve }];
            }),
        advanceMs: stepMs => {
            nowMs += stepMs;
            const due = sleepers.filter(sleeper => sleeper.wakeAtMs <= nowMs);
            sleepers = sleepers.filter(sleeper => sleeper.wakeAtMs > nowMs);
            for (const sleeper of [...due].sort((left, right) => left.wakeAtMs - right.wakeAtMs)) {
                sleeper.resolve();
            }
        },
    };
}
