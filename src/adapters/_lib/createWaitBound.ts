/**
 * @module A bound on one wait at a time.
 */

/** The bound of the wait that a connection is in. */
export interface WaitBound {
    /** Begins a wait; the one before it is over. */
    beginWait(delayMs: number, waitedFor: string): void;
    /** Ends the wait; nothing is bounded until the next one begins. */
    endWait(): void;
}

/**
 * Creates a bound. Beginning the same wait again costs little: its timer is kept.
 *
 * @param handleOver - Called when a wait was too long, with a sentence that says what was waited for
 * @returns The bound, without a wait
 * @example
 * const bound = createWaitBound(message => request.destroy(new Error(message)));
 * bound.beginWait(1_000, "connection");
 */
export function createWaitBound(handleOver: (message: string) => void): WaitBound {
    let timer: NodeJS.Timeout | undefined;
    let timerDelayMs = 0;
    let awaited = "";
    const endWait = () => {
        clearTimeout(timer);
        timer = undefined;
    };
    return {
        beginWait: (delayMs, waitedFor) => {
            awaited = waitedFor;
            if (timer !== undefined && timerDelayMs === delayMs) {
                timer.refresh();
                return;
            }
            endWait();
            timerDelayMs = delayMs;
            timer = setTimeout(() => handleOver(`There was no ${awaited} for ${delayMs} ms.`), delayMs);
        },
        endWait,
    };
}
