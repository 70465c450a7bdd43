/**
 * @module Takes a message inside a task.
 */
import type { Channel, TaskGenerator } from "./channel";
import { jsCsp } from "./jsCsp";

/**
 * Waits for the next message of a channel.
 *
 * @param channel - The channel to take from
 * @returns The message, or `undefined` once the channel is closed and empty
 * @example
 * const message = yield* take(inbox);
 */
export function* take<T>(channel: Channel<T>): TaskGenerator<T | undefined> {
    const value = yield jsCsp.take(channel);
    return value === jsCsp.CLOSED ? undefined : (value as T);
}
