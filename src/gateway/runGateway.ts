/**
 * @module Runs a gateway as a process, and connects its components.
 */
import http from "node:http";
import type { Result } from "neverthrow";
import { ulid } from "ulid";
import type { Clock } from "../base/clock";
import { createSystemClock } from "../base/createSystemClock";
import { createEntropySeededRandom } from "../base/createEntropySeededRandom";
import type { Failure } from "../base/failure";
import { createLog } from "../base/log/createLog";
import { type Log, LogFormat } from "../base/log/log";
import { createAccountQuotas } from "../decisions/gateway/accountQuotas";
import { startListening } from "../http/startListening";
import { DutyKind, type GatewayConfiguration, type GatewayEndpoint, type GatewaySettings } from "../model/gateway";
import type { DutyPort } from "../ports/duties";
import type { ForwardingCodec } from "../ports/forwardingCodec";
import type { TablePort } from "../ports/table";
import type { WatchedRow, WatchedTablePort } from "../ports/watchedTable";
import { logStrayErrors } from "../serve/logStrayErrors";
import { createRateLimitedLog } from "./createRateLimitedLog";
import { createConfigurationHolder } from "./createConfigurationHolder";
import { createDemandMeter } from "./createDemandMeter";
import { createEndpointDirectory } from "./createEndpointDirectory";
import { createFleetDuty } from "./createFleetDuty";
import { createForwarder } from "./createForwarder";
import { createGatewayListener, type GatewayListener } from "./createGatewayListener";
import { createGatewayMetrics } from "./createGatewayMetrics";
import { createMembership, type Membership } from "./createMembership";
import { createPeerExchange } from "./createPeerExchange";
import { createReadinessListener } from "./createReadinessListener";
import { createServiceSpeeds } from "./createServiceSpeeds";
import { createClusterTime, type ClusterTime } from "./createClusterTime";
import { createUsageDuty } from "./createUsageDuty";
import { createUsageLedger, type UsageLedger } from "./createUsageLedger";
import { createUsageMeter } from "./createUsageMeter";
import { dumpOnSignal } from "./dumpOnSignal";
import { recordPeerPrompt } from "./endpointRecord";
import type { GatewayComponents } from "./gatewayComponents";
import { type DutyHandle, startDutyHolder } from "./startDutyHolder";
import { startTableWatch } from "./startTableWatch";
import { type LiveSettings, watchSettings } from "./watchSettings";

/** The adapters and table names that `platform/` provides. */
export interface GatewayPlatform {
    /** Reads the current settings. */
    readonly readSettings: () => Result<GatewaySettings, Failure>;
    readonly tables: TablePort & WatchedTablePort;
    /** Absent where this node has no duties. */
    readonly cloud: DutyPort | undefined;
    readonly codec: ForwardingCodec;
    readonly configurationTable: string;
    readonly endpointTable: string;
    readonly decodeConfigurationRow: (row: WatchedRow) => GatewayConfiguration | undefined;
    readonly decodeEndpointRow: (row: WatchedRow) => GatewayEndpoint | undefined;
}

/** How long the store may delay its answer while a table does not change (long polling). */
const CONFIGURATION_WAIT_MS = 1_500;
const ENDPOINTS_WAIT_MS = 2_500;
/**
 * Share of `revokeMs` after which a node that can't reach the store reports to the load balancer that it is not ready.
 */
const READY_SHARE = 0.6;
/** Key of the row that holds the offset between Unix time and the store's clock. */
const OFFSET_KEY = "time/offset";
const OFFSET_RETRY_MS = 200;
/** After a signal, new connections may arrive until the load balancer has checked the readiness twice. */
const ACCEPT_AFTER_SIGNAL_MS = 3_500;
const DRAIN_CHECK_PERIOD_MS = 100;
/** Share of the grace time after which open requests are cut off. */
const GRACE_SHARE = 0.97;

/**
 * Runs a gateway until a signal ends it.
 *
 * @param settings - Its settings
 * @param platform - The adapters of the platform
 * @param metricsPort - Port of the metrics listener, on the node's address
 * @returns The exit code
 * @example
 * process.exitCode = await runGateway(settings, platform, 7_615);
 */
export async function runGateway(
    settings: LiveSettings,
    platform: GatewayPlatform,
    metricsPort: number,
): Promise<number> {
    const clock = createSystemClock();
    const random = createEntropySeededRandom();
    const log = createProcessLog(clock).withFields({ node: settings.nodeName });
    log.info("gateway started", { isFirstStart: settings.isFirstStart });
    const whenSignalled = waitForSignal();
    watchSettings(settings, { readSettings: platform.readSettings, log });
    logStrayErrors(log);
    const clusterTime = createClusterTime(clock);
    const configuration = createConfigurationHolder(clock, log);
    const directory = createEndpointDirectory(settings, clock, log);
    const speeds = createServiceSpeeds();
    const demand = createDemandMeter(clock);
    const usage = createUsageMeter(clusterTime, settings.bounds.usageWindowMs);
    const metrics = createGatewayMetrics();
    configuration.watchConfiguration(view => metrics.setConfigurationVersion(view.configuration.version));
    const quotas = createAccountQuotas(settings.bounds, settings.isFirstStart ? undefined : clock.readMonotonicMs());
    const ledger = createUsageLedger();
    const [peerPort] = settings.internalPorts;
    const membership = createMembership({
        node: settings.nodeName,
        address: settings.address,
        port: peerPort,
        windowMs: settings.bounds.usageWindowMs,
        table: platform.tables,
        clusterTime,
        usage,
        clock,
        random,
        log,
    });
    const peers = createPeerExchange({
        node: settings.nodeName,
        address: settings.address,
        port: peerPort,
        membership,
        quotas,
        ledger,
        usage,
        clusterTime,
        readLoads: demand.readLoads,
        handlePrompt: ({ endpointId, tokens }) => {
            const record = directory.findEndpoint(endpointId);
            if (record !== undefined) {
                const { tokensPerMs } = speeds.readSpeed(record.endpoint.service);
                recordPeerPrompt(record, tokens, tokensPerMs, clock.readMonotonicMs());
            }
        },
        clock,
        log,
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
        peers,
    };
    dumpOnSignal(components);
    startWatches(components, platform, clusterTime);
    void resolveClusterTime(platform.tables, clusterTime, clock.waitMs, log);
    const duties = startDuties({ components, platform, membership, ledger, clusterTime });
    const listener = createGatewayListener({ components, forwarder: createForwarder(components), quotas });
    let isLeaving = false;
    const isReady = () =>
        !isLeaving &&
        configuration.readCurrent() !== undefined &&
        directory.isLoaded() &&
        configuration.computeAgeMs() < settings.bounds.revokeMs * READY_SHARE;
    const readiness = createReadinessListener(isReady);
    const metricsListener = http.createServer((request, response) => {
        request.resume();
        void metrics.formatMetrics().then(text => response.end(text));
    });
    await Promise.all([
        startListening(listener.server, settings.callers),
        startListening(readiness, settings.readiness),
        startListening(metricsListener, { address: settings.address, port: metricsPort }),
    ]);
    log.info("gateway listens", { startMs: Math.round(process.uptime() * 1_000) });

    const signal = await whenSignalled;
    isLeaving = true;
    duties?.leave();
    return drainGateway(components, listener, signal);
}

/** Watches the configuration and the endpoints in the store. */
function startWatches(components: GatewayComponents, platform: GatewayPlatform, clusterTime: ClusterTime): void {
    const { configuration, directory, clock, random, log } = components;
    startTableWatch({
        table: platform.configurationTable,
        port: platform.tables,
        clock,
        random,
        log,
        waitMs: CONFIGURATION_WAIT_MS,
        handleRows: rows =>
            rows.flatMap(row => platform.decodeConfigurationRow(row) ?? []).forEach(configuration.applyConfiguration),
        handleConfirmation: (sentAt, answer) => {
            configuration.recordConfirmation(sentAt);
            clusterTime.recordStoreClock(answer.storeNowMs);
        },
    });
    startTableWatch({
        table: platform.endpointTable,
        port: platform.tables,
        clock,
        random,
        log,
        waitMs: ENDPOINTS_WAIT_MS,
        handleRows: (rows, isWholeTable, isStoreRecovering) => {
            const entries = rows.map(row => ({ id: row.key, endpoint: platform.decodeEndpointRow(row) }));
            if (isWholeTable) {
                directory.replaceAll(entries, isStoreRecovering);
            } else {
                entries.forEach(entry => directory.applyEntry(entry, isStoreRecovering));
            }
        },
        handleConfirmation: (_sentAt, answer) => clusterTime.recordStoreClock(answer.storeNowMs),
    });
}

/** Waits until the open requests are finished or the grace time is over; gives the exit code. */
async function drainGateway(components: GatewayComponents, listener: GatewayListener, signal: string): Promise<number> {
    const { clock, log, settings } = components;
    const leavingAtMs = clock.readMonotonicMs();
    const computeDrainingMs = () => clock.readMonotonicMs() - leavingAtMs;
    log.info("gateway leaves", { signal, open: listener.countOpen() });
    listener.beginDrain();
    while (computeDrainingMs() < settings.bounds.graceMs * GRACE_SHARE) {
        await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_PERIOD_MS));
        if (computeDrainingMs() > ACCEPT_AFTER_SIGNAL_MS) {
            listener.closeIdle();
            if (listener.countOpen() === 0) {
                break;
            }
        }
    }
    log.info("gateway ended", { cut: listener.countOpen(), drainMs: Math.round(computeDrainingMs()) });
    return listener.countOpen() === 0 ? 0 : 1;
}

/** Dependencies of the duties. */
interface DutyDependencies {
    readonly components: GatewayComponents;
    readonly platform: GatewayPlatform;
    readonly membership: Membership;
    readonly ledger: UsageLedger;
    readonly clusterTime: ClusterTime;
}

/** Starts the participation in the duties; `undefined` where the platform has none for this node. */
function startDuties({
    components,
    platform,
    membership,
    ledger,
    clusterTime,
}: DutyDependencies): DutyHandle | undefined {
    const { settings, clock, log } = components;
    const { cloud, tables: table } = platform;
    if (cloud === undefined) {
        return undefined;
    }
    const { usageWindowMs: windowMs, usageDueMs: dueMs, leaseMs } = settings.bounds;
    const { isFirstStart } = settings;
    const creators = {
        [DutyKind.Usage]: () =>
            createUsageDuty({
                windowMs,
                dueMs,
                cloud,
                table,
                membership,
                ledger,
                clusterTime,
                isFirstStart,
                log,
            }),
        [DutyKind.Fleet]: () =>
            createFleetDuty({
                ...components,
                cloud,
                failureDomains: Object.keys(settings.regions),
                isFirstStart,
            }),
    };
    const duties = settings.duties.map(kind => creators[kind]());
    return startDutyHolder({ node: settings.nodeName, leaseMs, table, membership, duties, clock, log });
}

/** Agrees with the other nodes on the offset of the cluster time: the first node that writes its row sets it. */
async function resolveClusterTime(
    table: TablePort,
    clusterTime: ClusterTime,
    waitMs: (ms: number) => Promise<void>,
    log: Log,
): Promise<void> {
    while (!clusterTime.hasAgreedOffset()) {
        const stored = await table.readRow(OFFSET_KEY);
        const measured = clusterTime.measureOffsetMs();
        if (stored.isOk() && stored.value !== undefined) {
            clusterTime.setAgreedOffset(Number(stored.value.value));
            log.info("time agreed", { offsetMs: Number(stored.value.value), measuredMs: measured });
        } else if (stored.isOk() && measured !== undefined) {
            await table.commitTransaction({
                token: ulid(),
                conditions: [{ key: OFFSET_KEY, version: undefined }],
                writes: [{ key: OFFSET_KEY, value: String(measured) }],
            });
        } else {
            await waitMs(OFFSET_RETRY_MS);
        }
    }
}

/** Creates the log on the standard output. If its reader goes away, lines are lost, and the process keeps running. */
function createProcessLog(clock: Clock): Log {
    process.stdout.on("error", () => undefined);
    const write = (line: string) => void process.stdout.write(`${line}\n`);
    return createRateLimitedLog(createLog({ format: LogFormat.Json, write }), clock);
}

/** Waits for SIGTERM or SIGINT; gives its name. */
function waitForSignal(): Promise<string> {
    return new Promise(resolve => {
        process.on("SIGTERM", () => resolve("SIGTERM"));
        process.on("SIGINT", () => resolve("SIGINT"));
    });
}
