/**
 * @module Waiting for the first of several channels.
 */
import type { Channel, Step } from "./channel";
import { jsCsp } from "./jsCsp";

/** The channel that answered first, by its name in the record, and its message (`undefined` if it was closed). */
export type Selected<C extends Readonly<Record<string, Channel<unknown>>>> = {
    [Name in keyof C]: {
        readonly from: Name;
        readonly message: C[Name] extends Channel<infer Message> ? Message | undefined : never;
    };
}[keyof C];

/**
 * Waits for the first of several channels that has a message. When several have one, the first named wins.
 *
 * @param channels - The channels by name
 * @returns The name of the channel and its message
 * @example
 * const event = yield* selectMessage({ request: requests, tick: createTimeout(1000) });
 * if (event.from === "tick") { ... }
 */
export function* selectMessage<C extends Readonly<Record<string, Channel<unknown>>>>(channels: C): Step<Selected<C>> {
    const names = Object.keys(channels);
    const outcome = (yield jsCsp.alts(
        names.map(name => channels[name]),
        { priority: true },
    )) as { readonly value: unknown; readonly channel: unknown };
    const from = names.find(name => channels[name] === outcome.channel);
    const message = outcome.value === jsCsp.CLOSED ? undefined : outcome.value;
    return { from, message } as Selected<C>;
}
