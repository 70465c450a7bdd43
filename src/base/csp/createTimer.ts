/**
 * @module Timers that can be stopped. A js-csp timeout runs on to its end and would pile up on busy paths.
 */
import type { Disposable } from "../disposableStore";
import type { Channel } from "./channel";
import { closeChannel } from "./closeChannel";
import { createChannel } from "./createChannel";

/** A timer. */
export interface Timer extends Disposable {
    /** Closes when the time has passed or the timer is disposed. */
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
