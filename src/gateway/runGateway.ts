/**
 * @module Runs a gateway as a process: its start, and its stop at a signal.
 */
import { createSystemClock } from "../base/createSystemClock";
import { createLog } from "../base/log/createLog";
import { type Log, LogFormat } from "../base/log/log";
import type { ProcessSignals } from "../base/processSignals";
import { ExitCode } from "../cli/exitCode";
import { logStrayErrors } from "../serve/logStrayErrors";
import { createFailureReporter, FailureOwner } from "./process/createFailureReporter";
import { createGatewayMetrics } from "./process/createGatewayMetrics";
import { createGatewayParts } from "./createGatewayParts";
import { createGatewayServers } from "./createGatewayServers";
import { createRateLimitedLog } from "./process/createRateLimitedLog";
import { drainGateway } from "./process/drainGateway";
import { dumpOnSignal } from "./process/dumpOnSignal";
import type { GatewayPlatform } from "./gatewayPlatform";
import { startClusterTime } from "./tables/startClusterTime";
import { startDuties } from "./duties/startDuties";
import { startQuotaRecords } from "./duties/startQuotaRecords";
import { logReadiness } from "./process/logReadiness";
import { startListeners } from "./process/startListeners";
import { startWatches } from "./tables/startWatches";
import { waitForEnd } from "./process/waitForEnd";
import { type LiveSettings, watchSettings } from "./process/watchSettings";

/**
 * Share of `revokeMs` after which a node that can't reach the store reports to the load balancer that it is not ready.
 */
const READY_SHARE = 0.6;
/** Longest wait for the store to take the last usage counts; the grace time of a stop is nearly over then. */
const LAST_COUNTS_LIMIT_MS = 150;
/** A former process may hold an address for the grace time of its stop; so long after that, the start has failed. */
const LISTEN_MARGIN_MS = 5_000;

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

async function runUntilStopped(run: GatewayRun): Promise<number> {
    const { settings, platformPorts, metricsPort, signals, lifeLog } = run;
    const log = createRateLimitedLog(lifeLog, createSystemClock());
    log.info("gateway started", {
        isFirstStart: settings.isFirstStart,
        signalsMs: Math.round(signals.handledAfterMs),
    });
    const whenSignalled = signals.takeStop();
    const metrics = createGatewayMetrics();
    logStrayErrors(log, metrics.countUnhandledError);
    const reportFailure = createFailureReporter(log, metrics);
    watchSettings(settings, { readSettings: platformPorts.readSettings, signals, log, reportFailure });
    const { components, platform, clusterTime, quotas, membership } = createGatewayParts(settings, platformPorts, {
        log,
        metrics,
        reportFailure,
    });
    const { clock, configuration, directory } = components;
    const rowServer = startWatches(components, platform, clusterTime);
    startQuotaRecords({
        ...components,
        ...settings.bounds,
        periodMs: settings.bounds.quotaRecordMs ?? 0,
        quotas,
        table: platform.tables,
        clusterTime,
    });
    startClusterTime({ table: platform.tables, clusterTime, clock, log, reportFailure });
    const duties = startDuties({
        components,
        cloud: platform.cloud,
        table: platform.tables,
        membership,
        clusterTime,
        rolloutRecords: platform.rolloutRecords,
    });
    let isLeaving = false;
    const isReady = () =>
        !isLeaving &&
        listeners.areNeededListening() &&
        configuration.readCurrent() !== undefined &&
        directory.isLoaded() &&
        configuration.computeAgeMs() < settings.bounds.revokeMs * READY_SHARE;
    const { listener, targets } = createGatewayServers({ components, quotas, rowServer, metricsPort, isReady });
    const retries = new AbortController();
    const limitMs = settings.bounds.graceMs + LISTEN_MARGIN_MS;
    const listeners = startListeners(targets, { clock, log: lifeLog, limitMs, signal: retries.signal });
    dumpOnSignal(components, listeners, signals);
    const conditions = {
        timeMs: clusterTime.hasAgreedOffset,
        configurationMs: () => configuration.readCurrent() !== undefined,
        endpointsMs: directory.isLoaded,
        newsMs: components.news.isLoaded,
        readyMs: isReady,
    };
    void logReadiness(conditions, clock, lifeLog).catch((error: unknown) =>
        components.reportFailure(FailureOwner.Request, error),
    );
    const { reason, failedExitCode } = await waitForEnd(listeners, whenSignalled, lifeLog);
    isLeaving = true;
    retries.abort();
    duties.leave();
    if (failedExitCode !== undefined && !listener.server.listening) {
        return failedExitCode;
    }
    const exitCode = await drainGateway({ clock, settings, log: lifeLog }, listener, reason);
    await Promise.race([
        membership.storeLastCounts(),
        new Promise(resolve => setTimeout(resolve, LAST_COUNTS_LIMIT_MS)),
    ]);
    return failedExitCode ?? exitCode;
}

/** Creates the log on the standard output. If its reader goes away, lines are lost, and the process keeps running. */
function createProcessLog(): Log {
    process.stdout.on("error", () => undefined);
    const write = (line: string) => void process.stdout.write(`${line}\n`);
    return createLog({ format: LogFormat.Json, write });
}
