/**
 * @module Watches for how long the event loop stands still.
 */
import { monitorEventLoopDelay } from "node:perf_hooks";
import type { Disposable } from "../../base/disposableStore";
import type { Log } from "../../base/log/log";

const SAMPLE_MS = 100;
const CHECK_INTERVAL_MS = 1_000;
/** A longer delay than this is logged: timeouts and health answers of the node are late by as much. */
const LOGGED_DELAY_MS = 500;
const NANOSECONDS_PER_MS = 1_000_000;

/** Delays of the event loop, in milliseconds. */
export interface LoopDelays {
    /** Longest delay since the last reading. */
    readonly longestMs: number;
}

/** Watches the event loop. */
export interface LoopMonitor extends Disposable {
    /** Gives the delays since the last reading, and begins anew. */
    takeDelays(): LoopDelays;
}

/**
 * Creates a monitor, which watches at once. A delay that a caller or endpoint caused is told from a slow link by it: the
 * node itself does nothing meanwhile.
 *
 * @param log - Gets a line for each long delay
 * @returns The monitor
 * @example
 * const { longestMs } = monitor.takeDelays();
 */
export function createLoopMonitor(log: Log): LoopMonitor {
    const histogram = monitorEventLoopDelay({ resolution: SAMPLE_MS });
    histogram.enable();
    let longestMs = 0;
    const readLongestMs = () => {
        const delayMs = Math.max(0, histogram.max / NANOSECONDS_PER_MS - SAMPLE_MS);
        histogram.reset();
        longestMs = Math.max(longestMs, delayMs);
        return delayMs;
    };
    const timer = setInterval(() => {
        const delayMs = readLongestMs();
        if (delayMs > LOGGED_DELAY_MS) {
            log.warn("event loop stood still", { delayMs: Math.round(delayMs) });
        }
    }, CHECK_INTERVAL_MS);
    timer.unref();
    return {
        takeDelays: () => {
            readLongestMs();
            const taken = { longestMs };
            longestMs = 0;
            return taken;
        },
        dispose: () => {
            clearInterval(timer);
            histogram.disable();
        },
    };
}
