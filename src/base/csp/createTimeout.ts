/**
 * @module Timers as channels.
 */
import type { Channel } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Creates a channel that closes after a time. It never carries a message. The time always runs to its end; where a wait
 * is often cut short, use `createTimer`.
 *
 * @param delayMs - Milliseconds until it closes
 * @returns The channel; taking from it waits for the time to pass
 * @example
 * const event = yield* selectMessage({ reply, tooLate: createTimeout(500) });
 */
export function createTimeout(delayMs: number): Channel<never> {
    return jsCsp.timeout(Math.max(0, delayMs)) as Channel<never>;
}
