/**
 * @module Sending from a callback, without waiting.
 */
import type { Channel } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Sends a message if the channel can take it now; never waits. For socket callbacks and timers.
 *
 * @param channel - Where to put it
 * @param message - The message
 * @returns True if the channel took it; false if it is full or closed
 * @example
 * socket.on("data", chunk => offerMessage(inbox, chunk));
 */
export function offerMessage<T extends NonNullable<unknown>>(channel: Channel<T>, message: T): boolean {
    return (channel as unknown as { closed: boolean }).closed ? false : jsCsp.offer(channel, message);
}
