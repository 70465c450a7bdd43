/**
 * @module Errors that no part of a process has handled.
 */
import { formatError } from "../base/formatError";
import type { Log } from "../base/log/log";

/** How an unhandled error arrived. The values appear in metrics. */
export enum ErrorOrigin {
    Rejection = "rejection",
    Exception = "exception",
}

const MESSAGES: Readonly<Record<ErrorOrigin, string>> = {
    [ErrorOrigin.Rejection]: "unhandled rejection",
    [ErrorOrigin.Exception]: "uncaught exception",
};

/**
 * Counts and logs rejections and exceptions that nothing handles; the process goes on. Each is counted, also if the log
 * drops its line.
 *
 * @param log - Where they are logged, with their stack
 * @param countError - Counts one
 * @example
 * logStrayErrors(log, metrics.countUnhandledError);
 */
export function logStrayErrors(log: Log, countError: (origin: ErrorOrigin) => void): void {
    const handleError = (origin: ErrorOrigin, error: unknown) => {
        countError(origin);
        log.error(MESSAGES[origin], { reason: formatError(error) });
    };
    process.on("unhandledRejection", reason => handleError(ErrorOrigin.Rejection, reason));
    process.on("uncaughtException", error => handleError(ErrorOrigin.Exception, error));
}
