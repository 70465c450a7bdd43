/**
 * @module Formats log lines as text or JSON.
 */
import { type LogFields, LogFormat, type LogLevel } from "../log";

/** A log line before it is formatted. */
export interface LogLine {
    /** Time in ISO 8601 format. */
    readonly time: string;
    readonly level: LogLevel;
    readonly message: string;
    readonly fields: LogFields;
}

const FORMATTERS: Readonly<Record<LogFormat, (line: LogLine) => string>> = {
    [LogFormat.Text]: formatText,
    [LogFormat.Json]: line =>
        JSON.stringify({ ...line.fields, time: line.time, level: line.level, message: line.message }),
};

/**
 * Formats a line. Newlines and control characters are escaped, so that no message or value can forge a log line.
 *
 * @param line - The line
 * @param format - Text or JSON
 * @returns The formatted line, without a newline at the end
 * @example
 * formatLogLine({ time, level: LogLevel.Info, message: "ready", fields: { port: 80 } }, LogFormat.Text);
 */
export function formatLogLine(line: LogLine, format: LogFormat): string {
    return FORMATTERS[format](line);
}

function formatText(line: LogLine): string {
    const fields = Object.entries(line.fields)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}=${formatValue(value)}`);
    return [line.time, line.level.toUpperCase().padEnd(5), formatMessage(line.message), ...fields].join(" ");
}

function formatValue(value: LogFields[string]): string {
    const text = String(value);
    return /^[\w.:/@+-]+$/.test(text) ? text : JSON.stringify(text);
}

function formatMessage(message: string): string {
    return JSON.stringify(message).slice(1, -1).replaceAll('\\"', '"');
}
