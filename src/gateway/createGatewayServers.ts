/**
 * @module Creates the servers of a gateway, with the addresses that they listen on.
 */
import type http from "node:http";
import type { AccountQuotas } from "../decisions/gateway/accountQuotas";
import { createRequestExplainer } from "./explain/createRequestExplainer";
import { createForwarder } from "./forwarding/createForwarder";
import { createSpillover } from "./forwarding/createSpillover";
import { createGatewayListener, type GatewayListener } from "./callers/createGatewayListener";
import { installInternalLimits } from "./process/installInternalLimits";
import { createLoopMonitor } from "./process/createLoopMonitor";
import { createMetricsListener } from "./process/createMetricsListener";
import { createReadinessListener } from "./process/createReadinessListener";
import type { GatewayComponents } from "./gatewayComponents";
import type { GatewayListenerTarget } from "./process/startListeners";

/** Dependencies of the servers. */
export interface GatewayServersOptions {
    readonly components: GatewayComponents;
    readonly quotas: AccountQuotas;
    /** The server of the rows for other nodes. */
    readonly rowServer: http.Server;
    /** Port of the metrics, on the node's address. */
    readonly metricsPort: number;
    readonly isReady: () => boolean;
}

/** The servers of a gateway. */
export interface GatewayServers {
    /** The one for callers. */
    readonly listener: GatewayListener;
    readonly targets: readonly GatewayListenerTarget[];
}

/**
 * Creates the servers; they do not listen yet.
 *
 * @param options - Their dependencies
 * @returns The servers
 * @example
 * const { listener, targets } = createGatewayServers({ components, quotas, rowServer, metricsPort, isReady });
 * startListeners(targets, supervision);
 */
export function createGatewayServers(options: GatewayServersOptions): GatewayServers {
    const { components, quotas, rowServer, metricsPort, isReady } = options;
    const { settings, metrics, memory, news, quarantine, log, reportFailure } = components;
    const { address, callers, readiness } = settings;
    const [internalPort] = settings.internalPorts;
    const loopMonitor = createLoopMonitor(log);
    const spillover = createSpillover(components);
    const forwarder = createForwarder(components, spillover);
    const listener = createGatewayListener({ components, forwarder, quotas });
    const explainRequest = createRequestExplainer({ components, quotas, spillover, isTaken: listener.isTaken });
    const metricsServer = createMetricsListener({
        formatMetrics: () => {
            const { nodes, reachable } = news.readUsage();
            metrics.setNewsState({ isRelay: news.isRelay(), nodes, reachable });
            metrics.setCallers(listener.countCallers());
            metrics.setLimitActions(listener.countLimitActions());
            metrics.setListenerLimits("callers", {
                actions: listener.requestLimits.countActions(),
                readAheadBytes: listener.requestLimits.countReadAheadBytes(),
                unreadBytes: listener.requestLimits.countUnreadBytes(),
            });
            internalServers.forEach(({ name, readLimits }) => metrics.setListenerLimits(name, readLimits()));
            metrics.setBodyMemory(memory);
            metrics.setLoopDelays(loopMonitor.takeDelays());
            return metrics.formatMetrics();
        },
        quarantine,
        explainRequest,
        reportFailure,
    });
    const readinessServer = createReadinessListener(isReady, reportFailure);
    const internalServers = Object.entries({ readiness: readinessServer, rows: rowServer, metrics: metricsServer }).map(
        ([name, server]) => ({ name, readLimits: installInternalLimits(server, name, components) }),
    );
    return {
        listener,
        targets: [
            { name: "callers", server: listener.server, ...callers, isNeeded: true },
            { name: "readiness", server: readinessServer, ...readiness, isNeeded: true },
            { name: "rows", server: rowServer, address, port: internalPort, isNeeded: true },
            { name: "metrics", server: metricsServer, address, port: metricsPort, isNeeded: false },
        ],
    };
}
