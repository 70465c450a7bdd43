/**
 * @module Elapsed time that stays correct when the machine is suspended.
 *
 * The monotonic clock may stop while a machine is suspended, and the wall clock may be changed. The greater of the two
 * elapsed times is never less than the real one, unless both clocks are wrong at the same time.
 */
import type { Clock } from "./clock";

/** A point in time, read from both clocks of a machine. */
export interface Instant {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

/**
 * Reads both clocks.
 *
 * @param clock - The clocks of the machine
 * @returns The current instant
 * @example
 * const startedAt = readInstant(clock);
 */
export function readInstant(clock: Clock): Instant {
    return { monotonicMs: clock.readMonotonicMs(), wallMs: clock.readWallMs() };
}

/**
 * Computes an upper bound of the elapsed time.
 *
 * @param since - An earlier instant on the same machine
 * @param now - A later instant
 * @returns Milliseconds, at least 0
 * @example
 * computeElapsedMs(confirmedAt, readInstant(clock)) < bounds.revokeMs;
 */
export function computeElapsedMs(since: Instant, now: Instant): number {
    return Math.max(0, now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}

/**
 * Moves an instant by a duration.
 *
 * @param instant - An instant
 * @param byMs - The duration in milliseconds; negative: to an earlier instant
 * @returns The moved instant
 * @example
 * moveInstant(sentAt, -250);
 */
export function moveInstant({ monotonicMs, wallMs }: Instant, byMs: number): Instant {
    return { monotonicMs: monotonicMs + byMs, wallMs: wallMs + byMs };
}
