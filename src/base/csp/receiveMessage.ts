/**
 * @module Receives a message outside a task.
 */
import type { Channel } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Receives the next message as a promise, for code that does not run inside a task.
 *
 * @param channel - The channel to receive from
 * @returns A promise of the message, or of `undefined` once the channel is closed and empty
 * @example
 * const reply = await receiveMessage(replies);
 */
export function receiveMessage<T>(channel: Channel<T>): Promise<T | undefined> {
    return new Promise(resolve =>
        jsCsp.takeAsync(channel, value => resolve(value === jsCsp.CLOSED ? undefined : (value as T))),
    );
}
