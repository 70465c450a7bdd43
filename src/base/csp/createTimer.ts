/**
 * @module Timers that can be cancelled. A js-csp timeout can't be, so pending timeouts would accumulate on busy paths.
 */
import type { Disposable } from "../disposableStore";
import type { Channel } from "./channel";
import { closeChannel } from "./closeChannel";
import { createChannel } from "./createChannel";

/** A timer; disposing it cancels it. */
export interface Timer extends Disposable {
    /** Closes when the timer expires or is disposed. */
    readonly expired: Channel<never>;
}

/**
 * Creates a timer for use in `selectMessage`. Dispose it once it is no longer needed.
 *
 * @param delayMs - Milliseconds until it expires
 * @returns The timer
 * @example
 * const timer = owned.add(createTimer(500));
 * const event = yield* selectMessage({ reply, expired: timer.expired });
 */
export function createTimer(delayMs: number): Timer {
    const expired = createChannel<never>();
    const handle = setTimeout(() => closeChannel(expired), Math.max(0, delayMs));
    return {
        expired,
        dispose: () => {
            clearTimeout(handle);
            closeChannel(expired);
        },
    };
}
