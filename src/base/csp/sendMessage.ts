/**
 * @module Sending from outside a task.
 */
import type { Channel } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Sends a message from a callback; the message waits its turn in the channel if there is no room yet.
 * js-csp holds at most 1,024 waiting messages per channel, so use it only where senders are bounded.
 *
 * @param channel - Where to put it
 * @param message - The message
 * @returns A promise of whether the channel took it; false once the channel is closed
 * @example
 * await sendMessage(inbox, { kind: MessageKind.Stop });
 */
export function sendMessage<T extends NonNullable<unknown>>(channel: Channel<T>, message: T): Promise<boolean> {
    return new Promise(resolve => jsCsp.putAsync(channel, message, sent => resolve(sent)));
}
