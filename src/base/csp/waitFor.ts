/**
 * @module Waits for a promise inside a task.
 */
import type { Channel, TaskGenerator } from "./channel";
import { createChannel } from "./createChannel";
import { jsCsp } from "./jsCsp";
import { take } from "./take";

interface Settled<T> {
    readonly value?: T;
    readonly error?: unknown;
    readonly isRejected: boolean;
}

/**
 * Waits for a promise and returns its value; if the promise is rejected, throws the reason inside the task.
 *
 * @param promise - The promise
 * @returns The promise's value
 * @example
 * const result = yield* waitFor(table.read("config/head"));
 */
export function* waitFor<T>(promise: PromiseLike<T>): TaskGenerator<T> {
    const settled = yield* take(createSettledChannel(promise));
    if (settled === undefined || settled.isRejected) {
        throw settled?.error;
    }
    return settled.value as T;
}

function createSettledChannel<T>(promise: PromiseLike<T>): Channel<Settled<T>> {
    const channel = createChannel<Settled<T>>(1);
    promise.then(
        value => jsCsp.putAsync(channel, { value, isRejected: false }),
        (error: unknown) => jsCsp.putAsync(channel, { error, isRejected: true }),
    );
    return channel;
}
