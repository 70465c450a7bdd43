/**
 * @module Creates the components of a gateway, and what they are built on.
 */
import { ulid } from "ulid";
import { createEntropySeededRandom } from "../base/createEntropySeededRandom";
import { createSystemClock } from "../base/createSystemClock";
import type { Log } from "../base/log/log";
import { type AccountQuotas, createAccountQuotas } from "../decisions/gateway/accountQuotas";
import type { GatewaySettings } from "../model/gateway";
import { createBodyMemory } from "./callers/createBodyMemory";
import { type ClusterTime, createClusterTime } from "./tables/createClusterTime";
import { type ConfigurationHolder, createConfigurationHolder } from "./tables/createConfigurationHolder";
import { createCountedTables } from "./tables/createCountedTables";
import { createDemandMeter } from "./duties/createDemandMeter";
import { createColdEndpoints } from "./endpoints/createColdEndpoints";
import { createEndpointDirectory, type EndpointDirectory } from "./endpoints/createEndpointDirectory";
import { createEvacuations } from "./endpoints/createEvacuations";
import { createEndpointLimits } from "./endpoints/createEndpointLimits";
import type { FailureReporter } from "./process/createFailureReporter";
import { createFleetNews } from "./news/createFleetNews";
import type { GatewayMetrics } from "./process/createGatewayMetrics";
import { createMembership, type Membership } from "./news/createMembership";
import { createPartQuarantine } from "./quarantine/createPartQuarantine";
import { createRollouts } from "./rollouts/createRollouts";
import { createServiceAdmission } from "./forwarding/createServiceAdmission";
import { createServiceSpeeds } from "./forwarding/createServiceSpeeds";
import { createUsageMeter } from "./duties/createUsageMeter";
import type { GatewayComponents } from "./gatewayComponents";
import type { GatewayPlatform } from "./gatewayPlatform";

/** Number of usage windows in a report, the newest ones. */
const REPORTED_WINDOWS = 2;

/** Where the parts tell what they do. */
export interface GatewayDiagnostics {
    readonly log: Log;
    readonly metrics: GatewayMetrics;
    readonly reportFailure: FailureReporter;
}

/** The parts of a gateway that its watches, duties and listeners need. */
export interface GatewayParts {
    readonly components: GatewayComponents;
    /** The adapters of the platform; calls to the tables are counted. */
    readonly platform: GatewayPlatform;
    readonly clusterTime: ClusterTime;
    readonly quotas: AccountQuotas;
    readonly membership: Membership;
}

/**
 * Creates the parts. They open no sockets by themselves.
 *
 * @param settings - The settings of the gateway
 * @param platformPorts - The adapters of the platform
 * @param diagnostics - The log, the metrics and the reporter of all parts
 * @returns The parts
 * @example
 * const { components, quotas } = createGatewayParts(settings, platform, { log, metrics, reportFailure });
 */
export function createGatewayParts(
    settings: GatewaySettings,
    platformPorts: GatewayPlatform,
    { log, metrics, reportFailure }: GatewayDiagnostics,
): GatewayParts {
    const clock = createSystemClock();
    const random = createEntropySeededRandom();
    const memory = createBodyMemory(settings.memoryBytesMax);
    const platform = { ...platformPorts, tables: createCountedTables(platformPorts.tables, metrics) };
    const clusterTime = createClusterTime(clock);
    const configuration = createConfigurationHolder(clock, log);
    const directory = createEndpointDirectory(settings, clock, log);
    const speeds = createServiceSpeeds();
    const demand = createDemandMeter(clock);
    const usage = createUsageMeter(clusterTime, settings.bounds.usageWindowMs);
    configuration.watchConfiguration(view => metrics.setConfigurationVersion(view.configuration.version));
    const quotas = createAccountQuotas(
        settings.bounds,
        settings.isFirstStart ? undefined : clock.readMonotonicMs(),
        random,
    );
    const [internalPort] = settings.internalPorts;
    const self = {
        node: settings.nodeName,
        life: ulid(),
        failureDomain: settings.failureDomain,
        address: settings.address,
        port: internalPort,
        capacity: settings.processorShare,
    };
    const quarantine = createPartQuarantine({
        nodeName: settings.nodeName,
        directory,
        readNodeCount: () => news.readUsage().nodes,
        clock,
        metrics,
        log,
    });
    const rollouts = createRollouts({
        nodeName: settings.nodeName,
        bounds: settings.bounds,
        directory,
        isInTouch: () => news.isInTouch(),
        reportFailure,
        readNodeCount: () => news.readUsage().nodes,
        clock,
        metrics,
        log,
    });
    const limits = createEndpointLimits({
        nodeName: settings.nodeName,
        directory,
        clusterTime,
        readFleet: () => news.readUsage(),
        clock,
        log,
    });
    const evacuations = createEvacuations({
        handleCancelled: domain => directory.recordReturn(domain, service => readColdStartMs(configuration, service)),
        metrics,
        log,
    });
    const coldEndpoints = createColdEndpoints({
        settings,
        readService: name => configuration.readCurrent()?.services.get(name),
        clusterTime,
        countReachable: () => news.readUsage().reachable,
        metrics,
        clock,
        log,
    });
    const news = createFleetNews({
        self,
        failureDomains: Object.keys(settings.regions),
        quotaWindowMs: settings.bounds.quotaWindowMs,
        readOwnNews: () => ({
            ...quotas.describeUsage(clock.readMonotonicMs(), news.readUsage()),
            loads: demand.readLoads(),
            endpoints: directory.readActivity(),
            arrivals: admission.readArrivals(),
        }),
        readCounts: () =>
            clusterTime.hasAgreedOffset()
                ? { atMs: Math.round(clusterTime.readClusterMs()), windows: usage.readWindows(REPORTED_WINDOWS) }
                : undefined,
        isNearEndpoint: createNearEndpointCheck(settings, directory),
        evidence: quarantine,
        rollouts,
        limits,
        memberSink: coldEndpoints,
        handleActivity: directory.recordOthers,
        clock,
        log,
        reportFailure,
    });
    const membership = createMembership({
        self,
        windowMs: settings.bounds.usageWindowMs,
        news,
        table: platform.tables,
        clusterTime,
        usage,
        clock,
        random,
        log,
        reportFailure,
    });
    const admission = createServiceAdmission({
        settings,
        configuration,
        directory,
        evacuations,
        limits,
        coldEndpoints,
        news,
        random,
        metrics,
        clock,
        log,
        reportFailure,
    });
    const components: GatewayComponents = {
        settings,
        clock,
        random,
        log,
        metrics,
        codec: platform.codec,
        configuration,
        directory,
        speeds,
        usage,
        demand,
        news,
        quarantine,
        rollouts,
        limits,
        evacuations,
        coldEndpoints,
        admission,
        memory,
        reportFailure,
    };
    return { components, platform, clusterTime, quotas, membership };
}

/** Reads how long an endpoint of a service is cold after its start; 0 if it never is or the service isn't known. */
function readColdStartMs(configuration: ConfigurationHolder, service: string): number {
    return configuration.readCurrent()?.services.get(service)?.coldStartMs ?? 0;
}

/** Creates the check whether an endpoint is in the region of this node. */
function createNearEndpointCheck(
    { regions, failureDomain }: GatewaySettings,
    directory: EndpointDirectory,
): (endpointId: string) => boolean {
    return endpointId => {
        const record = directory.findEndpoint(endpointId);
        return record !== undefined && regions[record.endpoint.failureDomain] === regions[failureDomain];
    };
}
