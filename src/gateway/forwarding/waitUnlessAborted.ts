/**
 * @module Waits for a value no longer than a signal allows.
 */

/**
 * Waits for a value until a signal is aborted.
 *
 * @param whenKnown - Gives the value
 * @param signal - Ends the wait
 * @param fallback - The value if the signal is aborted first
 * @returns The value
 * @example
 * const hasCrashed = await waitUnlessAborted(whenKnown, ended, true);
 */
export function waitUnlessAborted<T>(whenKnown: Promise<T>, signal: AbortSignal, fallback: T): Promise<T> {
    return new Promise((resolve, reject) => {
        const handleAbort = () => resolve(fallback);
        if (signal.aborted) {
            handleAbort();
        }
        signal.addEventListener("abort", handleAbort, { once: true });
        whenKnown.then(resolve, reject).finally(() => signal.removeEventListener("abort", handleAbort));
    });
}
