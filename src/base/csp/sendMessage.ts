/**
 * @module Sends a message from outside a task.
 */
import type { Channel } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Sends a message from a callback; while the channel is full, the message is queued.
 * js-csp queues at most 1,024 messages per channel, so use it only where the number of senders is bounded.
 *
 * @param channel - The channel to send to
 * @param message - The message
 * @returns A promise of true once the channel has accepted the message, or of false if the channel is closed
 * @example
 * await sendMessage(inbox, { kind: MessageKind.Stop });
 */
export function sendMessage<T extends NonNullable<unknown>>(channel: Channel<T>, message: T): Promise<boolean> {
    return new Promise(resolve => jsCsp.putAsync(channel, message, sent => resolve(sent)));
}
