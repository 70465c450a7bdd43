/**
 * @module Formats thrown values for log lines.
 */

/**
 * Formats whatever was thrown, with its stack if it has one. Never throws itself.
 *
 * @param error - What was thrown
 * @returns The text
 * @example
 * log.error("task failed", { reason: formatError(error) });
 */
export function formatError(error: unknown): string {
    try {
        return error instanceof Error ? (error.stack ?? error.message) : String(error);
    } catch {
        return "a value that has no text";
    }
}
