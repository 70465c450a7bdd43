/**
 * @module Logs the problems of a listener, which may last and come often.
 */
import type { Clock } from "../base/clock";
import type { Log, LogFields } from "../base/log/log";

/** A problem that lasts is logged once in this time. */
const LOG_PERIOD_MS = 10_000;

/** Logs problems. */
export interface ProblemLog {
    /** Logs an error, unless the same one was logged a short time ago. */
    logProblem(message: string, error: Error, fields: LogFields): void;
    readLastError(): string | undefined;
}

/**
 * Creates the log.
 *
 * @param clock - Measures the time between two lines about the same error
 * @param log - Where the lines are written
 * @returns The log
 * @example
 * createProblemLog(clock, log).logProblem("listener error", error, { listener: "callers" });
 */
export function createProblemLog(clock: Clock, log: Log): ProblemLog {
    let lastError: string | undefined;
    let loggedAtMs = Number.NEGATIVE_INFINITY;
    return {
        logProblem: (message, error, fields) => {
            const nowMs = clock.readMonotonicMs();
            if (error.message !== lastError || nowMs - loggedAtMs >= LOG_PERIOD_MS) {
                loggedAtMs = nowMs;
                log.error(message, { ...fields, reason: error.message });
            }
            lastError = error.message;
        },
        readLastError: () => lastError,
    };
}
