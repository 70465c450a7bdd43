/**
 * @module Loads js-csp and declares its types. Only files in this folder import this module.
 */
import "./_lib/replaceScheduler";
import csp from "js-csp";
import "./_lib/restoreScheduler";

/** The functions of js-csp that this folder uses. */
export interface JsCsp {
    readonly CLOSED: unknown;
    readonly NO_VALUE: unknown;
    chan(buffer?: unknown): unknown;
    go(body: () => Generator): unknown;
    put(channel: unknown, value: unknown): unknown;
    take(channel: unknown): unknown;
    offer(channel: unknown, value: unknown): boolean;
    poll(channel: unknown): unknown;
    timeout(delayMs: number): unknown;
    alts(channels: readonly unknown[], options?: { readonly priority?: boolean }): unknown;
    putAsync(channel: unknown, value: unknown, done?: (sent: boolean) => void): void;
    takeAsync(channel: unknown, done: (value: unknown) => void): void;
    readonly buffers: {
        fixed(capacity: number): unknown;
        dropping(capacity: number): unknown;
        sliding(capacity: number): unknown;
    };
}

/** js-csp with its declared types. */
export const jsCsp = csp as unknown as JsCsp;
