/**
 * @module Waits for several channels at once.
 */
import type { Channel, TaskGenerator } from "./channel";
import { jsCsp } from "./jsCsp";

/** The name of the channel that was ready first, and its message (`undefined` if the channel is closed). */
export type SelectedMessage<C extends Readonly<Record<string, Channel<unknown>>>> = {
    [Name in keyof C]: {
        readonly from: Name;
        readonly message: C[Name] extends Channel<infer Message> ? Message | undefined : never;
    };
}[keyof C];

/**
 * Waits until one of several channels has a message or is closed, and takes from it. If several are ready, the one that
 * is named first is taken.
 *
 * @param channels - The channels by name
 * @returns The name of that channel and its message
 * @example
 * const event = yield* selectMessage({ request: requests, tick: createTimeout(1000) });
 * if (event.from === "tick") { ... }
 */
export function* selectMessage<C extends Readonly<Record<string, Channel<unknown>>>>(
    channels: C,
): TaskGenerator<SelectedMessage<C>> {
    const names = Object.keys(channels);
    const outcome = (yield jsCsp.alts(
        names.map(name => channels[name]),
        { priority: true },
    )) as { readonly value: unknown; readonly channel: unknown };
    const from = names.find(name => channels[name] === outcome.channel);
    const message = outcome.value === jsCsp.CLOSED ? undefined : outcome.value;
    return { from, message } as SelectedMessage<C>;
}
