/**
 * @module Sends a message without waiting.
 */
import type { Channel } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Sends a message if the channel can accept it immediately; never waits. For callbacks of sockets and timers.
 *
 * @param channel - The channel to send to
 * @param message - The message
 * @returns True if the channel accepted it; false if it is full or closed
 * @example
 * socket.on("data", chunk => offerMessage(inbox, chunk));
 */
export function offerMessage<T extends NonNullable<unknown>>(channel: Channel<T>, message: T): boolean {
    return (channel as unknown as { closed: boolean }).closed ? false : jsCsp.offer(channel, message);
}
