/**
 * @module Logs how long a start has taken, and what it waited for.
 */
import type { Clock } from "../../base/clock";
import type { Log } from "../../base/log/log";

const CHECK_PERIOD_MS = 20;
/** After this time the line is written with what is missing. */
const LIMIT_MS = 30_000;

/** Conditions of a start by the name under which the log line has the time until they held. */
export type StartConditions = Readonly<Record<string, () => boolean>>;

/**
 * Waits until all conditions have held, and logs for each the milliseconds from the start of the process until it did.
 *
 * @param conditions - The conditions
 * @param clock - The clock, whose monotonic time begins with the process
 * @param log - Gets the line
 * @returns When it is logged
 * @example
 * await logReadiness({ configurationMs: () => configuration.readCurrent() !== undefined }, clock, log);
 */
export async function logReadiness(conditions: StartConditions, clock: Clock, log: Log): Promise<void> {
    const names = Object.keys(conditions);
    const untilMs = clock.readMonotonicMs() + LIMIT_MS;
    const heldAfterMs: Record<string, number> = {};
    const isMissing = (name: string) => heldAfterMs[name] === undefined;
    while (names.some(isMissing) && clock.readMonotonicMs() < untilMs) {
        for (const name of names.filter(isMissing)) {
            if (conditions[name]?.() === true) {
                heldAfterMs[name] = Math.round(clock.readMonotonicMs());
            }
        }
        await clock.waitMs(CHECK_PERIOD_MS);
    }
    log.info("gateway ready", { ...heldAfterMs, missing: names.filter(isMissing).join(" ") || undefined });
}
