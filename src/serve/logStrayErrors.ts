/**
 * @module Errors that no part of a process has handled.
 */
import { FailureError } from "../base/failureError";
import type { Log } from "../base/log/log";

/**
 * Logs rejections and exceptions that nothing handles; the process goes on.
 *
 * @param log - Where they are logged
 * @example
 * logStrayErrors(log);
 */
export function logStrayErrors(log: Log): void {
    process.on("unhandledRejection", reason => logStray(log, "unhandled rejection", reason));
    process.on("uncaughtException", error => logStray(log, "uncaught exception", error));
}

function logStray(log: Log, what: string, reason: unknown): void {
    const text =
        reason instanceof FailureError ? reason.message : reason instanceof Error ? reason.stack : String(reason);
    log.error(what, { reason: text ?? "" });
}
