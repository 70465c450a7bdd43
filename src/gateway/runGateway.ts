/**
 * @module A gateway as a process: the one module that wires its parts.
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
import { createBoundedLog } from "./createBoundedLog";
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
import { createTrueTime, type TrueTime } from "./createTrueTime";
import { createUsageDuty } from "./createUsageDuty";
import { createUsageLedger, type UsageLedger } from "./createUsageLedger";
import { createUsageMeter } from "./createUsageMeter";
import { dumpOnSignal } from "./dumpOnSignal";
import { recordPeerPrompt } from "./endpointRecord";
import type { GatewayParts } from "./gatewayParts";
import { type DutyHolding, startDutyHolder } from "./startDutyHolder";
import { startTableWatch } from "./startTableWatch";
import { type LiveSettings, watchSettings } from "./watchSettings";

/** What the platform's folder provides. */
export interface GatewayPlatform {
    /** Reads the settings anew. */
    readonly readSettings: () => Result<GatewaySettings, Failure>;
    readonly tables: TablePort & WatchedTablePort;
    readonly cloud: DutyPort | undefined;
    readonly codec: ForwardingCodec;
    readonly configurationTable: string;
    readonly endpointTable: string;
    readonly decodeConfigurationRow: (row: WatchedRow) => GatewayConfiguration | undefined;
    readonly decodeEndpointRow: (row: WatchedRow) => GatewayEndpoint | undefined;
}

const CONFIGURATION_WAIT_MS = 1_500;
const ENDPOINTS_WAIT_MS = 2_500;
/** Share of `revokeMs` after which a node without the store sends new connections elsewhere. */
const READY_SHARE = 0.6;
const OFFSET_KEY = "time/offset";
const OFFSET_RETRY_MS = 200;
/** After a signal new connections may still arrive until the balancer has asked twice. */
const LISTEN_AFTER_SIGNAL_MS = 3_500;
const DRAIN_STEP_MS = 100;
/** Share of the grace time after which what is open is given up. */
const GRACE_SHARE = 0.97;

/**
 * Runs a gateway until a signal ends it.
 *
 * @param settings - Its settings
 * @param platform - The platform, as its folder adapts it
 * @param metricsPort - Port of the metrics on the node's address
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
    const whenTold = waitForSignal();
    watchSettings(settings, { readSettings: platform.readSettings, log });
    logStrayErrors(log);
    const trueTime = createTrueTime(clock);
    const configuration = createConfigurationHolder(clock, log);
    const directory = createEndpointDirectory(settings, clock, log);
    const speeds = createServiceSpeeds();
    const demand = createDemandMeter(clock);
    const usage = createUsageMeter(trueTime, settings.bounds.usageWindowMs);
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
        trueTime,
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
        trueTime,
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
    const parts: GatewayParts = {
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
    dumpOnSignal(parts);
    startWatches(parts, platform, trueTime);
    void resolveTrueTime(platform.tables, trueTime, clock.waitMs, log);
    const duties = startDuties({ parts, platform, membership, ledger, trueTime });
    const listener = createGatewayListener({ parts, forwarder: createForwarder(parts), quotas });
    let isLeaving = false;
    const isReady = () =>
        !isLeaving &&
        configuration.readCurrent() !== undefined &&
        directory.isKnown() &&
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

    const signal = await whenTold;
    isLeaving = true;
    duties?.leave();
    return drainGateway(parts, listener, signal);
}

/** Follows the configuration and the endpoints in the store. */
function startWatches(parts: GatewayParts, platform: GatewayPlatform, trueTime: TrueTime): void {
    const { configuration, directory, clock, random, log } = parts;
    startTableWatch({
        table: platform.configurationTable,
        port: platform.tables,
        clock,
        random,
        log,
        waitMs: CONFIGURATION_WAIT_MS,
        handleRows: rows =>
            rows.flatMap(row => platform.decodeConfigurationRow(row) ?? []).forEach(configuration.applyConfiguration),
        handleConfirmed: (sentAt, answer) => {
            configuration.recordConfirmed(sentAt);
            trueTime.recordStoreClock(answer.storeNowMs);
        },
    });
    startTableWatch({
        table: platform.endpointTable,
        port: platform.tables,
        clock,
        random,
        log,
        waitMs: ENDPOINTS_WAIT_MS,
        handleRows: (rows, isWholeTable, wasStoreAway) => {
            const entries = rows.map(row => ({ id: row.key, endpoint: platform.decodeEndpointRow(row) }));
            if (isWholeTable) {
                directory.replaceAll(entries, wasStoreAway);
            } else {
                entries.forEach(entry => directory.applyEntry(entry, wasStoreAway));
            }
        },
        handleConfirmed: (_sentAt, answer) => trueTime.recordStoreClock(answer.storeNowMs),
    });
}

/** Finishes what is open; gives the exit code. */
async function drainGateway(parts: GatewayParts, listener: GatewayListener, signal: string): Promise<number> {
    const { clock, log, settings } = parts;
    const leavingAtMs = clock.readMonotonicMs();
    const passedMs = () => clock.readMonotonicMs() - leavingAtMs;
    log.info("gateway leaves", { signal, open: listener.countOpen() });
    listener.beginDrain();
    while (passedMs() < settings.bounds.graceMs * GRACE_SHARE) {
        await new Promise(resolve => setTimeout(resolve, DRAIN_STEP_MS));
        if (passedMs() > LISTEN_AFTER_SIGNAL_MS) {
            listener.closeIdle();
            if (listener.countOpen() === 0) {
                break;
            }
        }
    }
    log.info("gateway ended", { cut: listener.countOpen(), drainMs: Math.round(passedMs()) });
    return listener.countOpen() === 0 ? 0 : 1;
}

interface DutyParts {
    readonly parts: GatewayParts;
    readonly platform: GatewayPlatform;
    readonly membership: Membership;
    readonly ledger: UsageLedger;
    readonly trueTime: TrueTime;
}

function startDuties({ parts, platform, membership, ledger, trueTime }: DutyParts): DutyHolding | undefined {
    const { settings, clock, log } = parts;
    const { cloud, tables: table } = platform;
    if (cloud === undefined) {
        return undefined;
    }
    const { usageWindowMs: windowMs, usageDueMs: dueMs, leaseMs } = settings.bounds;
    const { isFirstStart } = settings;
    const creators = {
        [DutyKind.Usage]: () =>
            createUsageDuty({ windowMs, dueMs, cloud, table, membership, ledger, trueTime, isFirstStart, log }),
        [DutyKind.Fleet]: () =>
            createFleetDuty({
                ...parts,
                cloud,
                failureDomains: Object.keys(settings.regions),
                isFirstStart,
            }),
    };
    const duties = settings.duties.map(kind => creators[kind]());
    return startDutyHolder({ node: settings.nodeName, leaseMs, table, membership, duties, clock, log });
}

/** Agrees with the other nodes on the difference between the time of day and the store's clock; the first one sets it. */
async function resolveTrueTime(
    table: TablePort,
    trueTime: TrueTime,
    waitMs: (ms: number) => Promise<void>,
    log: Log,
): Promise<void> {
    while (!trueTime.hasAgreedOffset()) {
        const stored = await table.readRow(OFFSET_KEY);
        const measured = trueTime.measureOffsetMs();
        if (stored.isOk() && stored.value !== undefined) {
            trueTime.setAgreedOffset(Number(stored.value.value));
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

/** A log on the standard output; a reader that went away ends the log, not the process. */
function createProcessLog(clock: Clock): Log {
    process.stdout.on("error", () => undefined);
    const write = (line: string) => void process.stdout.write(`${line}\n`);
    return createBoundedLog(createLog({ format: LogFormat.Json, write }), clock);
}

function waitForSignal(): Promise<string> {
    return new Promise(resolve => {
        process.on("SIGTERM", () => resolve("SIGTERM"));
        process.on("SIGINT", () => resolve("SIGINT"));
    });
}
