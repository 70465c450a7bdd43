/**
 * @module Sends a message from inside a task.
 */
import type { Channel, TaskGenerator } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Sends a message and waits until the channel has room for it.
 *
 * @param channel - The channel to send to
 * @param message - The message
 * @returns True if the channel accepted it, false if the channel is closed
 * @example
 * yield* put(outbox, { kind: MessageKind.Done });
 */
export function* put<T extends NonNullable<unknown>>(channel: Channel<T>, message: T): TaskGenerator<boolean> {
    const sent = yield jsCsp.put(channel, message);
    return sent === true;
}
