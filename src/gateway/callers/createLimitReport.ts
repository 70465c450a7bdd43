/**
 * @module Log lines about callers' connections that are closed or refused because of their limit.
 */
import type { LimitAction } from "../../http/installConnectionLimit";
import type { GatewayComponents } from "../gatewayComponents";

/** At most one line is written in this time; it counts what happened since the one before. */
const LINE_INTERVAL_MS = 1_000;

/**
 * Creates the report, without a line.
 *
 * @param components - Clock and log
 * @param countConnections - Counts the open connections
 * @returns A function that is called after each action
 * @example
 * installConnectionLimit(server, 3_400, { reportAction: createLimitReport(components, countConnections) });
 */
export function createLimitReport(
    { clock, log }: Pick<GatewayComponents, "clock" | "log">,
    countConnections: () => number,
): (action: LimitAction) => void {
    const counts = new Map<LimitAction, number>();
    let isScheduled = false;
    const resetSchedule = () => {
        isScheduled = false;
    };
    const writeLine = () => {
        resetSchedule();
        log.warn("caller connections near their limit", {
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
