/**
 * @module The interface of structured logs.
 */

/** Severity of a log line. */
export enum LogLevel {
    Debug = "debug",
    Info = "info",
    Warn = "warn",
    Error = "error",
}

/** Format of log lines. */
export enum LogFormat {
    /** One human-readable line per message. */
    Text = "text",
    /** One JSON object per line. */
    Json = "json",
}

/** Structured data beside the message. Values are flat, so that no request body or other object can be logged. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A log. Values of fields whose names suggest secrets, and bearer keys inside texts, are hidden. */
export interface Log {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
    /** Returns a log that adds `fields` to each line, for example `{ requestId }`. */
    withFields(fields: LogFields): Log;
}
