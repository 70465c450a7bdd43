/**
 * @module The interface of clocks. All durations and timestamps are numbers of milliseconds.
 */

/**
 * A source of time. The pure functions in `src/decisions` never read a clock; they receive `nowMs` as an argument.
 */
export interface Clock {
    /** Monotonic milliseconds since an arbitrary start; never decreases, not even when the wall clock is changed. */
    readMonotonicMs(): number;
    /** Milliseconds since the Unix epoch, for deadlines shared between processes and for display. */
    readWallMs(): number;
    /** Resolves after `delayMs` milliseconds measured by this clock. */
    waitMs(delayMs: number): Promise<void>;
}
