/**
 * @module Runs the request path of a gateway on loopback for tests, with scripted endpoints and without a platform.
 */
import http from "node:http";
import type { AddressInfo } from "node:net";
import { PLATFORM_CODEC } from "../../../platform/forwardingCodec";
import { createRandom } from "../../base/createRandom";
import { createSystemClock } from "../../base/createSystemClock";
import type { Disposable } from "../../base/disposableStore";
import { readInstant } from "../../base/instant";
import { createLog } from "../../base/log/createLog";
import { type AccountQuotas, createAccountQuotas } from "../../decisions/gateway/accountQuotas";
import type {
    GatewayAccount,
    GatewayBounds,
    GatewayConfiguration,
    GatewayRoute,
    GatewaySettings,
} from "../../model/gateway";
import { createBodyMemory } from "../callers/createBodyMemory";
import { createConfigurationHolder, type ConfigurationHolder } from "../tables/createConfigurationHolder";
import { createDemandMeter } from "../duties/createDemandMeter";
import { createColdEndpoints } from "../endpoints/createColdEndpoints";
import { createEndpointDirectory, type EndpointDirectory } from "../endpoints/createEndpointDirectory";
import { createEvacuations } from "../endpoints/createEvacuations";
import { createEndpointLimits } from "../endpoints/createEndpointLimits";
import { createFailureReporter } from "../process/createFailureReporter";
import { createRequestExplainer, type RequestExplainer } from "../explain/createRequestExplainer";
import { createForwarder } from "../forwarding/createForwarder";
import { createGatewayListener, type GatewayListener } from "../callers/createGatewayListener";
import { createGatewayMetrics } from "../process/createGatewayMetrics";
import { createPartQuarantine } from "../quarantine/createPartQuarantine";
import { createRollouts } from "../rollouts/createRollouts";
import { createServiceAdmission } from "../forwarding/createServiceAdmission";
import { createSpillover } from "../forwarding/createSpillover";
import { createServiceSpeeds } from "../forwarding/createServiceSpeeds";
import { drainGateway } from "../process/drainGateway";
import type { GatewayComponents } from "../gatewayComponents";
import { makeEndpoint } from "./makeEndpoint";
import { makeNews } from "./makeNews";
import { type EndpointScript, type ScriptedEndpoint, startScriptedEndpoint } from "./startScriptedEndpoint";

/** What a caller received. */
export interface CallerAnswer {
    /** 0 if the connection was closed without an answer. */
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** True if the answer ended regularly. */
    readonly isComplete: boolean;
}

/** A running request path. */
export interface GatewayHarness extends Disposable {
    readonly listener: GatewayListener;
    readonly components: GatewayComponents;
    readonly configuration: ConfigurationHolder;
    readonly directory: EndpointDirectory;
    readonly quotas: AccountQuotas;
    readonly explainRequest: RequestExplainer;
    readonly endpoints: readonly ScriptedEndpoint[];
    /** Port of the listener for callers. */
    readonly port: number;
    /** Stops the node as a signal does; its connections are closed when the process would end. */
    stop(): Promise<number>;
    /** Account of each request that was counted in the usage. */
    readonly countedAccounts: readonly string[];
    /** Records that the store confirmed the configuration this many milliseconds ago; default: now. */
    confirm(agoMs?: number): void;
    /** Puts the next version of the configuration in force, with these changes. */
    apply(changes: Partial<GatewayConfiguration>): void;
    /** Sends a request; after `leavesAfterMs` the caller closes its connection. */
    send(
        options?: http.RequestOptions & { readonly body?: string; readonly leavesAfterMs?: number },
    ): Promise<CallerAnswer>;
}

const ACCOUNT: GatewayAccount = {
    name: "county",
    keys: ["key-1"],
    priority: undefined,
    quotaPerSecond: 0,
    quotaBurst: 0,
    countsTokens: true,
    defaultTokens: 10,
};

/** Makes the settings of a node on loopback. */
export function makeSettings(): GatewaySettings {
    return SETTINGS;
}

const SETTINGS: GatewaySettings = {
    nodeName: "node-1",
    failureDomain: "hobart-1",
    address: "127.0.0.1",
    regions: { "hobart-1": "hobart" },
    callers: { address: "127.0.0.1", port: 0 },
    readiness: { address: "127.0.0.1", port: 0 },
    internalPorts: [0, 0],
    store: { address: "127.0.0.1", port: 1 },
    cloud: undefined,
    duties: [],
    bounds: {
        revokeMs: 5_000,
        graceMs: 8_000,
        retryRatio: 0.2,
        retrySlack: 50,
        retryWindowMs: 10_000,
        quotaWindowMs: 8_000,
        quotaOverrun: 0,
        quotaSlack: 0,
        exposureShare: 0.1,
        exposureSlack: 50,
        leaseMs: 3_000,
        usageWindowMs: 5_000,
        usageDueMs: 10_000,
    },
    processorShare: 0.675,
    memoryBytesMax: 350 * 1_048_576,
    descriptorsMax: 4_100,
    isFirstStart: true,
};

/**
 * Starts a request path with one route and an endpoint for each script.
 *
 * @param route - The route; its service is `chat`
 * @param scripts - The behaviour of each endpoint
 * @param options - `isWithoutConfiguration`: no configuration is in force and none was confirmed; `confirmedAgoMs`: how
 * long ago the store confirmed it (default 0); `bounds`: bounds to override; `replace`: components to override
 * @returns The harness; otherwise the configuration is in force and has just been confirmed
 * @example
 * const harness = await createGatewayHarness(makeRoute(), [answer]);
 */
export async function createGatewayHarness(
    route: GatewayRoute,
    scripts: readonly EndpointScript[],
    options: {
        readonly isWithoutConfiguration?: boolean;
        readonly confirmedAgoMs?: number;
        readonly bounds?: Partial<GatewayBounds>;
        readonly memoryBytesMax?: number;
        /** Gives components that replace those of the harness, for example some that throw. */
        readonly replace?: (components: GatewayComponents) => Partial<GatewayComponents>;
    } = {},
): Promise<GatewayHarness> {
    const { memoryBytesMax = SETTINGS.memoryBytesMax } = options;
    const bounds = { ...SETTINGS.bounds, ...options.bounds };
    const settings: GatewaySettings = { ...SETTINGS, bounds, memoryBytesMax };
    const clock = createSystemClock();
    const log = createLog({ write: () => undefined });
    const configuration = createConfigurationHolder(clock, log);
    const directory = createEndpointDirectory(settings, clock, log);
    const endpoints = await Promise.all(scripts.map(startScriptedEndpoint));
    const countedAccounts: string[] = [];
    const metrics = createGatewayMetrics();
    const rollouts = createRollouts({
        reportFailure: () => undefined,
        nodeName: settings.nodeName,
        bounds: settings.bounds,
        directory,
        isInTouch: () => true,
        readNodeCount: () => 1,
        clock,
        metrics,
        log,
    });
    const parts: Omit<GatewayComponents, "admission"> = {
        settings,
        clock,
        random: createRandom(1),
        log,
        metrics,
        codec: PLATFORM_CODEC,
        configuration,
        directory,
        speeds: createServiceSpeeds(),
        usage: {
            recordExecutionStart: (account: string) => void countedAccounts.push(account),
            readWindows: () => ({}),
        },
        demand: createDemandMeter(clock),
        news: makeNews(),
        quarantine: createPartQuarantine({
            nodeName: SETTINGS.nodeName,
            directory,
            readNodeCount: () => 1,
            clock,
            metrics,
            log,
        }),
        rollouts,
        evacuations: createEvacuations({ handleCancelled: () => undefined, metrics, log }),
        coldEndpoints: createColdEndpoints({
            settings,
            readService: name => configuration.readCurrent()?.services.get(name),
            clusterTime: { readClusterMs: () => clock.readWallMs(), hasAgreedOffset: () => true },
            countReachable: () => 1,
            metrics,
            clock,
            log,
        }),
        memory: createBodyMemory(settings.memoryBytesMax),
        reportFailure: createFailureReporter(log, metrics),
        limits: createEndpointLimits({
            nodeName: settings.nodeName,
            directory,
            clusterTime: { readClusterMs: () => clock.readWallMs(), hasAgreedOffset: () => true },
            readFleet: () => ({ nodes: 1, reachable: 1 }),
            clock,
            log,
        }),
    };
    const replacement = options.replace?.({ ...parts, admission: createServiceAdmission(parts) });
    const replaced = { ...parts, ...replacement };
    const components: GatewayComponents = { ...replaced, admission: createServiceAdmission(replaced), ...replacement };
    const quotas = createAccountQuotas(settings.bounds, undefined, createRandom(1));
    const spillover = createSpillover(components);
    const listener = createGatewayListener({ components, forwarder: createForwarder(components, spillover), quotas });
    const { isTaken } = listener;
    const explainRequest = createRequestExplainer({ components, quotas, spillover, isTaken });
    let current: GatewayConfiguration = {
        version: 1,
        routes: [route],
        services: [{ name: "chat", connectionsMax: 100, engine: undefined, fleet: undefined }],
        accounts: [ACCOUNT],
        limits: { headerBytesMax: 16_384, bodyBytesMax: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 4_000 },
        skippedEntries: 0,
    };
    const apply = (changes: Partial<GatewayConfiguration>) => {
        current = { ...current, version: current.version + 1, ...changes };
        configuration.applyConfiguration(current);
    };
    const confirm = (agoMs = 0) => {
        const now = readInstant(clock);
        configuration.recordConfirmation({ monotonicMs: now.monotonicMs - agoMs, wallMs: now.wallMs - agoMs });
    };
    const entries = endpoints.map((endpoint, index) => ({
        id: `i-${index}`,
        endpoint: makeEndpoint(`i-${index}`, { target: { address: endpoint.address, port: endpoint.port } }),
    }));
    rollouts.recordVersions(
        entries.map(entry => entry.endpoint),
        true,
    );
    directory.replaceAll(entries, false);
    await new Promise<void>(resolve => listener.server.listen(0, "127.0.0.1", resolve));
    const port = (listener.server.address() as AddressInfo).port;
    if (options.isWithoutConfiguration !== true) {
        apply({});
        confirm(options.confirmedAgoMs);
    }
    return {
        listener,
        components,
        configuration,
        directory,
        quotas,
        explainRequest,
        endpoints,
        port,
        stop: async () => {
            const exitCode = await drainGateway(components, listener, "SIGTERM");
            listener.server.closeAllConnections();
            return exitCode;
        },
        countedAccounts,
        apply,
        confirm,
        send: options => sendRequest(port, options),
        dispose: () => {
            listener.server.closeAllConnections();
            listener.server.close();
            directory.dispose();
            endpoints.forEach(endpoint => endpoint.dispose());
        },
    };
}

function sendRequest(
    port: number,
    options: http.RequestOptions & { readonly body?: string; readonly leavesAfterMs?: number } = {},
): Promise<CallerAnswer> {
    const { body, leavesAfterMs, ...request } = options;
    return new Promise(resolve => {
        const none = { status: 0, headers: {}, body: "", isComplete: false };
        const call = http.request(
            {
                host: "127.0.0.1",
                port,
                path: "/a/b",
                agent: false,
                ...request,
                headers: {
                    host: "news.example",
                    authorization: "Bearer key-1",
                    "redwinglift-attempt-id": "attempt-1",
                    ...(request.headers as http.OutgoingHttpHeaders | undefined),
                },
            },
            response => {
                let text = "";
                response.on("data", chunk => (text += String(chunk)));
                response.on("error", () => undefined);
                response.on("close", () =>
                    resolve({
                        status: response.statusCode ?? 0,
                        headers: response.headers,
                        body: text,
                        isComplete: response.complete,
                    }),
                );
            },
        );
        call.on("error", () => resolve(none));
        if (leavesAfterMs !== undefined) {
            setTimeout(() => call.destroy(), leavesAfterMs);
        }
        call.end(body);
    });
}
