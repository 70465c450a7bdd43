/**
 * @module Structured logs.
 */

/** How much is logged. */
export enum LogLevel {
    Debug = "debug",
    Info = "info",
    Warn = "warn",
    Error = "error",
}

/** How log lines look. */
export enum LogFormat {
    /** One line a message, for people. */
    Text = "text",
    /** One JSON object a line, for machines. */
    Json = "json",
}

/** Facts beside the message. Flat on purpose, so that no body or object can slip in. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A log. Values of secret-looking fields and bearer keys inside texts are hidden. */
export interface Log {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
    /** Gives a log that adds `fields` to each line, for example `{ requestId }`. */
    withFields(fields: LogFields): Log;
}
