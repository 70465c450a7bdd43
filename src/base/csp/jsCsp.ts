/**
 * @module The untyped library behind the typed wrapper. Only files in this folder import it.
 */
import "./_lib/replaceScheduler";
import csp from "js-csp";
import "./_lib/restoreScheduler";

/** The part of js-csp that the wrapper uses. */
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

/** js-csp under its typed interface. */
export const jsCsp = csp as unknown as JsCsp;
