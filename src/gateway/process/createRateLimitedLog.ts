/**
 * @module A log with a rate limit, so that logging does not slow down requests under overload.
 */
import type { Clock } from "../../base/clock";
import type { Log, LogFields } from "../../base/log/log";

const PERIOD_MS = 1_000;
/** Most lines in a period. Warnings and errors may use all of them, other lines half. */
const LINES_PER_PERIOD_MAX = 60;
const ORDINARY_LINES_PER_PERIOD_MAX = LINES_PER_PERIOD_MAX / 2;

/**
 * Wraps a log. Lines beyond the limit are dropped; the next period begins with a line that states how many.
 *
 * @param log - The log to write to
 * @param clock - Measures the periods
 * @returns The rate-limited log
 * @example
 * const log = createRateLimitedLog(createLog({ format: LogFormat.Json }), clock);
 */
export function createRateLimitedLog(log: Log, clock: Clock): Log {
    const budget = { startedAtMs: Number.NEGATIVE_INFINITY, lines: 0, dropped: 0 };
    const beginPeriod = (nowMs: number) => {
        const dropped = budget.dropped;
        budget.startedAtMs = nowMs;
        budget.lines = 0;
        budget.dropped = 0;
        if (dropped > 0) {
            log.warn("log lines dropped", { dropped });
        }
    };
    const consumeLine = (maxLines: number): boolean => {
        const nowMs = clock.readMonotonicMs();
        if (nowMs - budget.startedAtMs >= PERIOD_MS) {
            beginPeriod(nowMs);
        }
        if (budget.lines >= maxLines) {
            budget.dropped++;
            return false;
        }
        budget.lines++;
        return true;
    };
    const wrapLog = (target: Log): Log => {
        const limitLines = (maxLines: number, write: (message: string, fields?: LogFields) => void) => {
            return (message: string, fields?: LogFields) => {
                if (consumeLine(maxLines)) {
                    write(message, fields);
                }
            };
        };
        return {
            debug: limitLines(ORDINARY_LINES_PER_PERIOD_MAX, target.debug),
            info: limitLines(ORDINARY_LINES_PER_PERIOD_MAX, target.info),
            warn: limitLines(LINES_PER_PERIOD_MAX, target.warn),
            error: limitLines(LINES_PER_PERIOD_MAX, target.error),
            withFields: fields => wrapLog(target.withFields(fields)),
        };
    };
    return wrapLog(log);
}
