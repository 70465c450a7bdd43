/**
 * @module The handlers of signals. Programs install them in their first statement, so this module loads nothing else.
 */
import { ControlSignal, type ProcessSignals, StopSignal } from "./processSignals";

/**
 * Installs handlers of the signals to stop, of `SIGHUP` and of `SIGUSR2`, which would end the process otherwise.
 *
 * @returns The signals, including those that come before anything takes them
 * @example
 * const signals = installSignalHandlers();
 * await signals.takeStop();
 */
export function installSignalHandlers(): ProcessSignals {
    const untakenStops: StopSignal[] = [];
    const stopTakers: ((signal: StopSignal) => void)[] = [];
    const handlers = new Map<ControlSignal, () => void>();
    const waiting = new Set<ControlSignal>();
    for (const signal of Object.values(StopSignal)) {
        process.on(signal, () => {
            const take = stopTakers.shift();
            if (take === undefined) {
                untakenStops.push(signal);
            } else {
                take(signal);
            }
        });
    }
    for (const signal of Object.values(ControlSignal)) {
        process.on(signal, () => {
            const handler = handlers.get(signal);
            if (handler === undefined) {
                waiting.add(signal);
            } else {
                handler();
            }
        });
    }
    return {
        handledAfterMs: performance.now(),
        takeStop: () => {
            const signal = untakenStops.shift();
            return signal === undefined ? new Promise(resolve => stopTakers.push(resolve)) : Promise.resolve(signal);
        },
        setHandler: (signal, handler) => {
            handlers.set(signal, handler);
            if (waiting.delete(signal)) {
                queueMicrotask(handler);
            }
        },
    };
}
