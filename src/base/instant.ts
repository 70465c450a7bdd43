/**
 * @module Instants that survive a suspension of the machine.
 *
 * The monotonic clock may stand still while a machine is suspended, and the wall clock may be set. The greater of both
 * elapsed times is never less than what has passed, unless both fail at once.
 */
import type { Clock } from "./clock";

/** One moment on both clocks of a machine. */
export interface Instant {
    readonly monotonicMs: number;
    readonly wallMs: number;
}

/** Reads both clocks. */
export function readInstant(clock: Clock): Instant {
    return { monotonicMs: clock.readMonotonicMs(), wallMs: clock.readWallMs() };
}

/**
 * Computes an upper estimate of the time that has passed.
 *
 * @param since - An earlier moment of the same machine
 * @param now - A later one
 * @returns Milliseconds, not below 0
 * @example
 * computeElapsedMs(confirmedAt, readInstant(clock)) < bounds.revokeMs;
 */
export function computeElapsedMs(since: Instant, now: Instant): number {
    return Math.max(0, now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}
