/**
 * @module Timeouts as channels.
 */
import type { Channel } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Creates a channel that closes after a delay and never carries a message. The timeout can't be cancelled; where waits
 * often end early, use `createTimer`.
 *
 * @param delayMs - Milliseconds until the channel closes
 * @returns The channel; taking from it waits until the delay has passed
 * @example
 * const event = yield* selectMessage({ reply, tooLate: createTimeout(500) });
 */
export function createTimeout(delayMs: number): Channel<never> {
    return jsCsp.timeout(Math.max(0, delayMs)) as Channel<never>;
}
