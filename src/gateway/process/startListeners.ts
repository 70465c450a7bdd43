/**
 * @module Starts the listeners of a gateway.
 */
import { Result } from "neverthrow";
import type { DumpSource } from "../../base/dump";
import type { Failure } from "../../base/failure";
import type { ListenerSupervision } from "../../http/retryListening";
import { type ListenerTarget, superviseListener } from "../../http/superviseListener";

/** A listener of a gateway. */
export interface GatewayListenerTarget extends ListenerTarget {
    /** Whether callers can't be served without it. */
    readonly isNeeded: boolean;
}

/** The listeners of a gateway. */
export interface GatewayListeners extends DumpSource {
    /** Settles once all needed listeners listen, or one of them could not for too long; never rejects. */
    readonly whenStarted: Promise<Result<void, Failure>>;
    /** Whether all needed listeners listen now. */
    areNeededListening(): boolean;
}

/**
 * Starts the listeners. Those that aren't needed are tried until the signal is aborted, and nothing waits for them.
 *
 * @param targets - The servers and their addresses
 * @param supervision - Clock, log, signal, and the time limit for those that are needed
 * @returns The listeners
 * @example
 * const listeners = startListeners(targets, { clock, log, limitMs: 13_000, signal });
 * const started = await listeners.whenStarted;
 */
export function startListeners(
    targets: readonly GatewayListenerTarget[],
    supervision: ListenerSupervision,
): GatewayListeners {
    const listeners = targets.map(target => {
        const limitMs = target.isNeeded ? supervision.limitMs : undefined;
        return { isNeeded: target.isNeeded, ...superviseListener(target, { ...supervision, limitMs }) };
    });
    const needed = listeners.filter(({ isNeeded }) => isNeeded);
    return {
        name: "listeners",
        whenStarted: Promise.all(needed.map(({ whenStarted }) => whenStarted)).then(results =>
            Result.combine(results).map(() => undefined),
        ),
        areNeededListening: () => needed.every(listener => listener.isListening()),
        dumpState: () => listeners.map(({ name, isNeeded, readState }) => ({ name, isNeeded, ...readState() })),
    };
}
