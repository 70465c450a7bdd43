/**
 * @module Taking from a callback, without waiting.
 */
import type { Channel } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Takes a message if one is there now; never waits.
 *
 * @param channel - Where to take from
 * @returns The message, or `undefined` if there is none or the channel is closed
 * @example
 * const next = pollMessage(inbox);
 */
export function pollMessage<T>(channel: Channel<T>): T | undefined {
    const value = jsCsp.poll(channel);
    return value === jsCsp.NO_VALUE || value === jsCsp.CLOSED ? undefined : (value as T);
}
