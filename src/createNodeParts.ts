/**
 * @module The outside of a real node: system clock, logs, metrics and adapters, from its settings.
 */
import type { HttpTarget } from "./adapters/_lib/httpTarget";
import { createHttpApplicationRunner } from "./adapters/httpApplicationRunner/createHttpApplicationRunner";
import { createHttpCloud } from "./adapters/httpCloud/createHttpCloud";
import { createHttpModelRunner } from "./adapters/httpModelRunner/createHttpModelRunner";
import { createHttpObjects } from "./adapters/httpObjects/createHttpObjects";
import { createHttpTable } from "./adapters/httpTable/createHttpTable";
import { createHttpVmList } from "./adapters/httpVmList/createHttpVmList";
import { createDisposableStore } from "./base/createDisposableStore";
import { createEntropySeededRandom } from "./base/createEntropySeededRandom";
import { createSystemClock } from "./base/createSystemClock";
import { createLog } from "./base/log/createLog";
import { createMetrics } from "./base/metrics/createMetrics";
import type { NodeParts } from "./nodeParts";
import type { Settings } from "./settings/settings";

const HTTP_PORT = 80;
const HTTPS_PORT = 443;

/**
 * Creates the outside of a node.
 *
 * @param settings - The node's settings
 * @returns The parts; dispose them after the node
 * @example
 * const parts = createNodeParts(settings);
 */
export function createNodeParts(settings: Settings): NodeParts {
    const owned = createDisposableStore();
    const log = createLog({ level: settings.logLevel, format: settings.logFormat }).withFields({
        node: settings.nodeId,
    });
    const metrics = owned.add(
        createMetrics({
            target: settings.statsd,
            commonTags: {
                node: settings.nodeId,
                region: settings.region,
                failure_domain: settings.failureDomain,
            },
            reportError: error => log.warn("metrics were not sent", { reason: error.message }),
        }),
    );
    return {
        clock: createSystemClock(),
        random: createEntropySeededRandom(),
        log,
        metrics,
        table: owned.add(createHttpTable(parseTarget(settings.platform.tableUrl))),
        objects: owned.add(createHttpObjects(parseTarget(settings.platform.objectsUrl))),
        cloud: owned.add(createHttpCloud(parseTarget(settings.platform.cloudUrl))),
        vmList: owned.add(createHttpVmList(parseTarget(settings.platform.vmListUrl))),
        modelRunners: owned.add(createHttpModelRunner()),
        applicationRunners: owned.add(createHttpApplicationRunner()),
        dispose: () => owned.dispose(),
    };
}

function parseTarget(url: string): HttpTarget {
    const { hostname, port, protocol } = new URL(url);
    const isTls = protocol === "https:";
    const defaultPort = isTls ? HTTPS_PORT : HTTP_PORT;
    return { address: hostname.replace(/^\[|\]$/g, ""), port: port === "" ? defaultPort : Number(port), isTls };
}
