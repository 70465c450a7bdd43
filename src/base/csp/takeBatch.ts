/**
 * @module Taking all messages that are there.
 */
import type { Channel, Step } from "./channel";
import { pollMessage } from "./pollMessage";
import { take } from "./take";

const BATCH_LIMIT = 256;

/**
 * Waits for the next message and takes those behind it as well. js-csp gives one message to a task in each turn of the
 * event loop, so under load a task that takes singly falls behind.
 *
 * @param channel - Where to take from
 * @returns At most 256 messages in order, or `undefined` once the channel is closed and empty
 * @example
 * for (let batch = yield* takeBatch(inbox); batch !== undefined; batch = yield* takeBatch(inbox)) { ... }
 */
export function* takeBatch<T>(channel: Channel<T>): Step<readonly T[] | undefined> {
    const first = yield* take(channel);
    if (first === undefined) {
        return undefined;
    }
    const batch = [first];
    while (batch.length < BATCH_LIMIT) {
        const next = pollMessage(channel);
        if (next === undefined) {
            break;
        }
        batch.push(next);
    }
    return batch;
}
