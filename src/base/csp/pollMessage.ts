/**
 * @module Takes a message without waiting.
 */
import type { Channel } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Takes a message if one is available immediately; never waits.
 *
 * @param channel - The channel to take from
 * @returns The message, or `undefined` if none is available or the channel is closed and empty
 * @example
 * const next = pollMessage(inbox);
 */
export function pollMessage<T>(channel: Channel<T>): T | undefined {
    const value = jsCsp.poll(channel);
    return value === jsCsp.NO_VALUE || value === jsCsp.CLOSED ? undefined : (value as T);
}
