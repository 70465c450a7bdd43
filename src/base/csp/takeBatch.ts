/**
 * @module Takes all messages that are available.
 */
import type { Channel, TaskGenerator } from "./channel";
import { pollMessage } from "./pollMessage";
import { take } from "./take";

const BATCH_LIMIT = 256;

/**
 * Waits for the next message and also takes those queued behind it. js-csp passes one message to a task in each of its
 * steps, so under load a task that takes single messages falls behind.
 *
 * @param channel - The channel to take from
 * @returns At most 256 messages in order, or `undefined` once the channel is closed and empty
 * @example
 * for (let batch = yield* takeBatch(inbox); batch !== undefined; batch = yield* takeBatch(inbox)) { ... }
 */
export function* takeBatch<T>(channel: Channel<T>): TaskGenerator<readonly T[] | undefined> {
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
