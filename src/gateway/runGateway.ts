/**
 * @module Runs a gateway as a process, and connects its components.
 */
import { ulid } from "ulid";
import { createEntropySeededRandom } from "../base/createEntropySeededRandom";
import { createSystemClock } from "../base/createSystemClock";
import { createLog } from "../base/log/createLog";
import { type Log, LogFormat } from "../base/log/log";
import type { ProcessSignals } from "../base/processSignals";
import { chooseExitCode, ExitCode } from "../cli/exitCode";
import { createAccountQuotas } from "../decisions/gateway/accountQuotas";
import type { GatewaySettings } from "../model/gateway";
import { logStrayErrors } from "../serve/logStrayErrors";
import { createBodyMemory } from "./createBodyMemory";
import { createCountedTables } from "./createCountedTables";
import { createClusterTime } from "./createClusterTime";
import { createConfigurationHolder } from "./createConfigurationHolder";
import { createDemandMeter } from "./createDemandMeter";
import { createEndpointDirectory, type EndpointDirectory } from "./createEndpointDirectory";
import { createEndpointLimits } from "./createEndpointLimits";
import { createFailureReporter } from "./createFailureReporter";
import { createFleetNews } from "./createFleetNews";
import { createForwarder } from "./createForwarder";
import { createGatewayListener } from "./createGatewayListener";
import { createGatewayMetrics } from "./createGatewayMetrics";
import { createLoopMonitor } from "./createLoopMonitor";
import { createPartQuarantine } from "./createPartQuarantine";
import { createMembership } from "./createMembership";
import { createMetricsListener } from "./createMetricsListener";
import { createRateLimitedLog } from "./createRateLimitedLog";
import { createReadinessListener } from "./createReadinessListener";
import { createRollouts } from "./createRollouts";
import { createServiceSpeeds } from "./createServiceSpeeds";
import { createUsageMeter } from "./createUsageMeter";
import { drainGateway } from "./drainGateway";
import { dumpOnSignal } from "./dumpOnSignal";
import type { GatewayComponents } from "./gatewayComponents";
import type { GatewayPlatform } from "./gatewayPlatform";
import { startClusterTime } from "./startClusterTime";
import { startDuties } from "./startDuties";
import { startListeners } from "./startListeners";
import { startWatches } from "./startWatches";
import { type LiveSettings, watchSettings } from "./watchSettings";

/**
 * Share of `revokeMs` after which a node that can't reach the store reports to the load balancer that it is not ready.
 */
const READY_SHARE = 0.6;
/** A former process may hold an address for the grace time of its stop; so long after that, the start has failed. */
const LISTEN_MARGIN_MS = 5_000;
/** Number of usage windows in a report, the newest ones. */
const REPORTED_WINDOWS = 2;

/**
 * Runs a gateway until a signal ends it, or until it can't go on.
 *
 * @param settings - Its settings
 * @param platformPorts - The adapters of the platform
 * @param metricsPort - Port of the metrics listener, on the node's address
 * @param signals - The signals of the process
 * @returns The exit code; never rejects
 * @example
 * process.exit(await runGateway(settings, platform, 7_615, installSignalHandlers()));
 */
export async function runGateway(
    settings: LiveSettings,
    platformPorts: GatewayPlatform,
    metricsPort: number,
    signals: ProcessSignals,
): Promise<number> {
    const log = createProcessLog().withFields({ node: settings.nodeName });
    try {
        return await runUntilStopped({ settings, platformPorts, metricsPort, signals, lifeLog: log });
    } catch (error) {
        const { message: reason, stack } = error as Error;
        log.error("gateway failed", { reason, exitCode: ExitCode.Internal, stack });
        return ExitCode.Internal;
    }
}

/** What a gateway runs with. */
interface GatewayRun {
    readonly settings: LiveSettings;
    readonly platformPorts: GatewayPlatform;
    readonly metricsPort: number;
    readonly signals: ProcessSignals;
    /** A log without a limit of lines. */
    readonly lifeLog: Log;
}

async function runUntilStopped({
    settings,
    platformPorts,
    metricsPort,
    signals,
    lifeLog,
}: GatewayRun): Promise<number> {
    const clock = createSystemClock();
    const random = createEntropySeededRandom();
    const log = createRateLimitedLog(lifeLog, clock);
    log.info("gateway started", {
        isFirstStart: settings.isFirstStart,
        signalsMs: Math.round(signals.handledAfterMs),
    });
    const whenSignalled = signals.takeStop();
    const metrics = createGatewayMetrics();
    logStrayErrors(log, metrics.countUnhandledError);
    const reportFailure = createFailureReporter(log, metrics);
    watchSettings(settings, { readSettings: platformPorts.readSettings, signals, log, reportFailure });
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
    const news = createFleetNews({
        self,
        failureDomains: Object.keys(settings.regions),
        quotaWindowMs: settings.bounds.quotaWindowMs,
        readOwnNews: () => ({
            ...quotas.describeUsage(clock.readMonotonicMs()),
            loads: demand.readLoads(),
            endpoints: directory.readActivity(),
        }),
        readCounts: () =>
            clusterTime.hasAgreedOffset()
                ? { atMs: Math.round(clusterTime.readClusterMs()), windows: usage.readWindows(REPORTED_WINDOWS) }
                : undefined,
        isNearEndpoint: createNearEndpointCheck(settings, directory),
        evidence: quarantine,
        rollouts,
        limits,
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
        memory,
        reportFailure,
    };
    const loopMonitor = createLoopMonitor(log);
    const rowServer = startWatches(components, platform, clusterTime);
    startClusterTime({ table: platform.tables, clusterTime, clock, log, reportFailure });
    const duties = startDuties({
        components,
        cloud: platform.cloud,
        table: platform.tables,
        membership,
        clusterTime,
        rolloutRecords: platform.rolloutRecords,
    });
    const listener = createGatewayListener({ components, forwarder: createForwarder(components), quotas });
    let isLeaving = false;
    const isReady = () =>
        !isLeaving &&
        listeners.areNeededListening() &&
        configuration.readCurrent() !== undefined &&
        directory.isLoaded() &&
        configuration.computeAgeMs() < settings.bounds.revokeMs * READY_SHARE;
    const readiness = createReadinessListener(isReady, reportFailure);
    const metricsListener = createMetricsListener({
        formatMetrics: () => {
            const { nodes, reachable } = news.readUsage();
            metrics.setNewsState({ isRelay: news.isRelay(), nodes, reachable });
            metrics.setCallers(listener.countCallers());
            metrics.setLimitActions(listener.countLimitActions());
            metrics.setBodyMemory(memory);
            metrics.setLoopDelays(loopMonitor.takeDelays());
            return metrics.formatMetrics();
        },
        quarantine,
        reportFailure,
    });
    const retries = new AbortController();
    const listeners = startListeners(
        [
            { name: "callers", server: listener.server, ...settings.callers, isNeeded: true },
            { name: "readiness", server: readiness, ...settings.readiness, isNeeded: true },
            { name: "rows", server: rowServer, address: settings.address, port: internalPort, isNeeded: true },
            { name: "metrics", server: metricsListener, address: settings.address, port: metricsPort, isNeeded: false },
        ],
        {
            clock,
            log: lifeLog,
            limitMs: settings.bounds.graceMs + LISTEN_MARGIN_MS,
            signal: retries.signal,
        },
    );
    dumpOnSignal(components, listeners, signals);
    const started = await Promise.race([listeners.whenStarted, whenSignalled.then(() => undefined)]);
    if (started?.isOk()) {
        lifeLog.info("gateway listens", { startMs: Math.round(process.uptime() * 1_000) });
    }
    const failure = started?.isErr() ? started.error : undefined;
    const reason = failure === undefined ? await whenSignalled : failure.kind;
    const failedExitCode = failure === undefined ? undefined : chooseExitCode(failure);
    if (failure !== undefined) {
        lifeLog.error("gateway failed", { reason: failure.message, exitCode: failedExitCode });
    }
    isLeaving = true;
    retries.abort();
    duties.leave();
    if (failure !== undefined && !listener.server.listening) {
        return chooseExitCode(failure);
    }
    const exitCode = await drainGateway({ clock, settings, log: lifeLog }, listener, reason);
    return failedExitCode ?? exitCode;
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

/** Creates the log on the standard output. If its reader goes away, lines are lost, and the process keeps running. */
function createProcessLog(): Log {
    process.stdout.on("error", () => undefined);
    const write = (line: string) => void process.stdout.write(`${line}\n`);
    return createLog({ format: LogFormat.Json, write });
}
