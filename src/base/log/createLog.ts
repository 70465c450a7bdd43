/**
 * @module Creates logs on top of tslog.
 */
import { Logger } from "tslog";
import { formatLogLine, type LogLine } from "./_lib/formatLogLine";
import { redactFields, redactText } from "./_lib/redactFields";
import { type Log, type LogFields, LogFormat, LogLevel } from "./log";

/** Options of `createLog`. */
export interface LogOptions {
    readonly level?: LogLevel;
    readonly format?: LogFormat;
    /** Receives each formatted line, without a newline at the end. */
    readonly write?: (line: string) => void;
}

type Emit = (level: LogLevel, line: LogLine) => void;

/**
 * Creates a log.
 *
 * @param options - `level`: the lowest level that is written (default info); `format`: default text; `write`: receives
 * each line (default: writes to standard error)
 * @returns The log
 * @example
 * const log = createLog({ format: LogFormat.Json });
 * log.withFields({ requestId }).info("request finished", { durationMs: 812 });
 */
export function createLog(options: LogOptions = {}): Log {
    const format = options.format ?? LogFormat.Text;
    const write = options.write ?? (line => void process.stderr.write(`${line}\n`));
    const logger = new Logger<LogLine>({
        type: "json",
        minLevel: TSLOG_LEVELS[options.level ?? LogLevel.Info],
        hideLogPositionForProduction: true,
        overwrite: {
            mask: lines => lines,
            toLogObj: ([line]) => line as LogLine,
            transportJSON: line => write(formatLogLine(line as LogLine, format)),
        },
    });
    const emitters: Readonly<Record<LogLevel, (line: LogLine) => unknown>> = {
        [LogLevel.Debug]: line => logger.debug(line),
        [LogLevel.Info]: line => logger.info(line),
        [LogLevel.Warn]: line => logger.warn(line),
        [LogLevel.Error]: line => logger.error(line),
    };
    return buildLog((level, line) => void emitters[level](line), {});
}

/** Names of the levels in tslog. */
const TSLOG_LEVELS: Readonly<Record<LogLevel, "DEBUG" | "INFO" | "WARN" | "ERROR">> = {
    [LogLevel.Debug]: "DEBUG",
    [LogLevel.Info]: "INFO",
    [LogLevel.Warn]: "WARN",
    [LogLevel.Error]: "ERROR",
};

function buildLog(emit: Emit, common: LogFields): Log {
    const writeAt =
        (level: LogLevel) =>
        (message: string, fields: LogFields = {}) =>
            emit(level, {
                time: new Date().toISOString(),
                level,
                message: redactText(message),
                fields: redactFields({ ...common, ...fields }),
            });
    return {
        debug: writeAt(LogLevel.Debug),
        info: writeAt(LogLevel.Info),
        warn: writeAt(LogLevel.Warn),
        error: writeAt(LogLevel.Error),
        withFields: fields => buildLog(emit, { ...common, ...fields }),
    };
}
