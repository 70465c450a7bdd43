/**
 * @module Closes channels.
 */
import type { Channel } from "./channel";

/**
 * Closes a channel. Messages already in it can still be taken, later ones are refused. Closing it again does nothing.
 *
 * @param channel - The channel to close
 * @example
 * closeChannel(inbox);
 */
export function closeChannel<T>(channel: Channel<T>): void {
    (channel as unknown as { close(): void }).close();
}
