/**
 * @module The signals that a process handles.
 */

/** A signal that asks the process to stop. */
export enum StopSignal {
    Terminate = "SIGTERM",
    Interrupt = "SIGINT",
}

/** A signal that asks the process for something while it runs. */
export enum ControlSignal {
    HangUp = "SIGHUP",
    Dump = "SIGUSR2",
}

/** The signals of the process. None of them ends it by itself; one that comes before its taker waits for it. */
export interface ProcessSignals {
    /** How long after the start of the process the signals were handled, in milliseconds. */
    readonly handledAfterMs: number;
    /** Takes the next signal to stop, waiting. Each signal is taken once, in the order of arrival. */
    takeStop(): Promise<StopSignal>;
    /** Sets the handler of a signal. If the signal has come before, the handler runs once, after the current code. */
    setHandler(signal: ControlSignal, handler: () => void): void;
}
