/**
 * @module Log lines about callers' connections that are closed, refused or not read because of a limit.
 */
import type { GatewayComponents } from "../gatewayComponents";

/** At most one line is written in this time; it counts what happened since the one before. */
const LINE_INTERVAL_MS = 1_000;

/** The message of lines about the limit of connections. */
export const CONNECTIONS_LIMITED = "caller connections near their limit";
/** The message of lines about requests that are sent ahead, and responses that are not read. */
export const REQUESTS_LIMITED = "caller requests limited";

/**
 * Creates the report, without a line.
 *
 * @param components - Clock and log
 * @param message - The message of its lines
 * @param countConnections - Counts the open connections
 * @returns A function that is called after each action
 * @example
 * installConnectionLimit(server, 3_400, { reportAction: createLimitReport(components, CONNECTIONS_LIMITED, count) });
 */
export function createLimitReport(
    { clock, log }: Pick<GatewayComponents, "clock" | "log">,
    message: string,
    countConnections: () => number,
): (action: string) => void {
    const counts = new Map<string, number>();
    let isScheduled = false;
    const resetSchedule = () => {
        isScheduled = false;
    };
    const writeLine = () => {
        resetSchedule();
        log.warn(message, {
            connections: countConnections(),
            ...Object.fromEntries(counts),
        });
        counts.clear();
    };
    return action => {
        counts.set(action, (counts.get(action) ?? 0) + 1);
        if (isScheduled) {
            return;
        }
        isScheduled = true;
        clock.waitMs(LINE_INTERVAL_MS).then(writeLine, resetSchedule);
    };
}
