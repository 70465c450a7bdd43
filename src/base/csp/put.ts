/**
 * @module Putting a message inside a task.
 */
import type { Channel, Step } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Sends a message and waits until the channel has room for it.
 *
 * @param channel - Where to put it
 * @param message - The message
 * @returns True if the channel took it, false if the channel is closed
 * @example
 * yield* put(outbox, { kind: MessageKind.Done });
 */
export function* put<T extends NonNullable<unknown>>(channel: Channel<T>, message: T): Step<boolean> {
    const sent = yield jsCsp.put(channel, message);
    return sent === true;
}
