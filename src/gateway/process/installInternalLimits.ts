/**
 * @module Limits a server inside the system: connections, requests sent ahead, and responses that are not read.
 */
import type { Server } from "node:http";
import { installConnectionLimit } from "../../http/installConnectionLimit";
import { installRequestLimits } from "../../http/installRequestLimits";
import { computeInternalRequestLimits } from "../callers/computeRequestLimits";
import { createLimitReport } from "../callers/createLimitReport";
import type { GatewayComponents } from "../gatewayComponents";
import type { ListenerLimits } from "./createGatewayMetrics";

/** Connections of each server; together fewer than the descriptors reserved beside those of callers (700). */
const INTERNAL_CONNECTIONS_MAX = 200;

/**
 * Installs the limits on a server.
 *
 * @param server - The server; it does not listen yet
 * @param name - Its name in log lines
 * @param components - Settings, clock and log
 * @returns A function that gives what the limits have done
 * @example
 * const readLimits = installInternalLimits(rowServer, "rows", components);
 */
export function installInternalLimits(
    server: Server,
    name: string,
    components: Pick<GatewayComponents, "clock" | "log" | "settings">,
): () => ListenerLimits {
    const reportAction = createLimitReport(components, `requests to ${name} limited`, () => connections.count());
    const requests = installRequestLimits(server, {
        ...computeInternalRequestLimits(components.settings.memoryBytesMax),
        reportAction,
    });
    const connections = installConnectionLimit(server, INTERNAL_CONNECTIONS_MAX, {
        clock: components.clock,
        reportAction,
    });
    return () => ({
        actions: { ...connections.countActions(), ...requests.countActions() },
        readAheadBytes: requests.countReadAheadBytes(),
        unreadBytes: requests.countUnreadBytes(),
    });
}
