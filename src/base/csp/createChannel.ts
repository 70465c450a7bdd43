/**
 * @module Creates channels.
 */
import { type Channel, Overflow } from "./channel";
import { jsCsp } from "./jsCsp";

const BUFFER_FACTORIES: Readonly<Record<Overflow, (capacity: number) => unknown>> = {
    [Overflow.Wait]: capacity => jsCsp.buffers.fixed(capacity),
    [Overflow.DropNewest]: capacity => jsCsp.buffers.dropping(capacity),
    [Overflow.DropOldest]: capacity => jsCsp.buffers.sliding(capacity),
};

/**
 * Creates a channel.
 *
 * @param capacity - Number of messages it buffers (default 0: unbuffered, the sender waits until the message is taken)
 * @param options - `overflow`: what happens to a message that is sent to a full channel (default: the sender waits)
 * @returns The channel
 * @example
 * const requests = createChannel<Request>(64);
 */
export function createChannel<T extends NonNullable<unknown>>(
    capacity = 0,
    options: { readonly overflow?: Overflow } = {},
): Channel<T> {
    const buffer = capacity > 0 ? BUFFER_FACTORIES[options.overflow ?? Overflow.Wait](capacity) : undefined;
    return jsCsp.chan(buffer) as Channel<T>;
}
