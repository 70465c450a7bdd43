/**
 * @module Time. Every duration and instant in this project is a number of milliseconds.
 */

/**
 * A source of time. Decisions never read a clock; they receive `nowMs` as an argument.
 */
export interface Clock {
    /** Monotonic milliseconds since an arbitrary start; never goes back, not even when the wall clock is set. */
    readMonotonicMs(): number;
    /** Milliseconds since the Unix epoch, for deadlines shared between processes and for people. */
    readWallMs(): number;
    /** Resolves after `delayMs` milliseconds of this clock. */
    waitMs(delayMs: number): Promise<void>;
}
