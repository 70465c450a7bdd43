/**
 * @module A stand-in for a model runner: an engine that batches continuously, behind OpenAI's HTTP format.
 */
import { ok } from "neverthrow";
import { z } from "zod";
import type { HttpTarget } from "../adapters/_lib/httpTarget";
import { sendPlatformCall } from "../adapters/_lib/sendPlatformCall";
import { createPlatformConnection } from "../adapters/_lib/createPlatformConnection";
import { parseAnswer } from "../adapters/_lib/parseAnswer";
import type { RunnerState } from "../ports/modelRunner";
import { createSystemClock } from "../base/createSystemClock";
import type { Disposable } from "../base/disposableStore";
import { FaultKind, type FaultFacts, type FaultSwitches } from "./fault";
import type { StandinCall, StandinReply } from "./_lib/standinCall";
import { type StandinOptions, startStandinServer } from "./_lib/startStandinServer";
import { GENERATION_PATH, TRANSFER_BYTES_PER_SECOND, WEIGHT_WAIT_MS } from "./constants";
import { type EngineOutput, EngineOutputKind, type EngineSettings } from "./modelEngine/engineState";
import { measureEngineLoad } from "./modelEngine/measureEngineLoad";
import { createCacheExchange } from "./modelRunner/createCacheExchange";
import { createCacheLog } from "./modelRunner/createCacheLog";
import { createEngineTask } from "./modelRunner/createEngineTask";
import { createGenerationHandler } from "./modelRunner/createGenerationHandler";
import { createLoadHistory } from "./modelRunner/createLoadHistory";
import { createOrderBook, type ExecutedOrder } from "./modelRunner/createOrderBook";
import { HttpStatus } from "../adapters/_lib/httpStatus";

/** Settings of the model runner stand-in. */
export interface ModelRunnerStandinOptions extends StandinOptions {
    /** The only model it knows; absent: any. */
    readonly serviceName?: string;
    /** Version at the start (default `v1`). */
    readonly version?: string;
    /** Speed and size of the engine. */
    readonly engine?: Partial<EngineSettings>;
    /** Whether orders with an old fencing token are refused (default true). */
    readonly checksFencing?: boolean;
    /** Age of a cache event when it appears (default 0). */
    readonly cacheEventLagMs?: number;
    /** Age of load reports (default 0). */
    readonly loadLagMs?: number;
    /** The platform whose weight store is read before a version or adapter is in place; absent: at once. */
    readonly weightStore?: HttpTarget;
    /** Called after an order was carried out. */
    readonly handleExecuted?: (state: RunnerState) => void;
    readonly transferBytesPerSecond?: number;
}

/** A running model runner stand-in. */
export interface ModelRunnerStandin extends FaultSwitches, Disposable {
    readonly address: string;
    readonly port: number;
    /** Port of `/faults` that answers also while the runner is down. */
    readonly controlPort: number;
    /** The version served now. */
    readVersion(): string;
    listExecutedOrders(): readonly ExecutedOrder[];
    /** How often generation of a request was begun here. */
    countStarts(requestId: string): number;
    /** Generations in the engine, waiting ones included. */
    countActive(): number;
    /** Prompt and resumed tokens prefilled since the start. */
    countPrefilledTokens(): number;
    countConnections(): number;
}

const attemptSchema = z.object({ request_id: z.string(), attempt: z.number() });

/**
 * Starts a model runner stand-in on loopback.
 *
 * @param options - Speed, lags, version, faults' seed, port and clock
 * @returns The stand-in, listening
 * @example
 * const runner = await createModelRunnerStandin({ engine: { tokenGapMs: 2 } });
 * runner.setFaults([{ kind: FaultKind.StreamCut, afterTokens: 5, times: 1 }]);
 * runner.dispose();
 */
export async function createModelRunnerStandin(options: ModelRunnerStandinOptions = {}): Promise<ModelRunnerStandin> {
    const clock = options.clock ?? createSystemClock();
    const weights =
        options.weightStore &&
        createPlatformConnection({ ...options.weightStore, timeouts: { firstByteMs: WEIGHT_WAIT_MS } });
    const readGate = () => server.gate;
    const readFacts = (): FaultFacts => ({ version: orders.readState().version, running: task.engine.running.length });

    const orders = createOrderBook({
        version: options.version ?? "v1",
        handleExecuted: options.handleExecuted,
        checksFencing: () =>
            (options.checksFencing ?? true) && readGate().strike(FaultKind.FencingIgnored) === undefined,
        loadWeights: name =>
            weights === undefined
                ? Promise.resolve(ok(undefined))
                : sendPlatformCall(weights, { method: "GET", path: `/weights/${encodeURIComponent(name)}` }),
    });
    const cacheLog = createCacheLog({ clock, lagMs: options.cacheEventLagMs ?? 0, readGate });
    const generations = createGenerationHandler({
        clock,
        serviceName: options.serviceName,
        readTask: () => task,
        readGate,
        readFacts,
        findImported: cacheId => exchange.findImported(cacheId),
        crash: downMs => {
            task.engine.prefixes.clear();
            server.crash(downMs);
        },
    });
    const exchange = createCacheExchange({
        clock,
        bytesPerSecond: options.transferBytesPerSecond ?? TRANSFER_BYTES_PER_SECOND,
        findRunning: generations.findRunning,
    });
    const handleOutput = (output: EngineOutput) => {
        history.recordSample();
        if (output.kind === EngineOutputKind.PrefixCached || output.kind === EngineOutputKind.PrefixEvicted) {
            cacheLog.recordEvent(output.prefixHash, output.kind === EngineOutputKind.PrefixEvicted);
        } else {
            generations.handleOutput(output);
        }
    };
    const task = createEngineTask({
        clock,
        settings: options.engine,
        readStepDelayMs: () =>
            readGate().strike(FaultKind.VersionSlow, { ...readFacts(), route: GENERATION_PATH })?.delayMs ?? 0,
        handleOutput,
    });
    const history = createLoadHistory(clock, () => measureEngineLoad(task.engine));
    const readLoad = (): StandinReply => {
        history.recordSample();
        const extraMs = readGate().strike(FaultKind.LoadLagging)?.delayMs ?? 0;
        const { sample, ageMs } = history.readSample((options.loadLagMs ?? 0) + extraMs);
        return { status: HttpStatus.Ok, body: { ...sample, ageMs } };
    };
    const cancelAttempt = (call: StandinCall): StandinReply => {
        const wanted = parseAnswer(call.body, attemptSchema);
        const isCancelled = wanted !== undefined && generations.cancelAttempt(wanted.request_id, wanted.attempt);
        return { status: isCancelled ? 200 : 404 };
    };
    const server = await startStandinServer({
        ...options,
        clock,
        readFacts,
        routes: [
            { method: "POST", path: GENERATION_PATH, handle: generations.handleGeneration },
            { method: "GET", path: "/health", handle: () => ({ status: HttpStatus.Ok }) },
            { method: "GET", path: "/redwinglift/load", handle: readLoad },
            {
                method: "GET",
                path: "/redwinglift/cache-events",
                handle: call => ({
                    status: HttpStatus.Ok,
                    body: { events: cacheLog.listEvents(Number(call.query.get("after") ?? 0)) },
                }),
            },
            {
                method: "GET",
                path: "/redwinglift/state",
                handle: () => ({ status: HttpStatus.Ok, body: orders.readState() }),
            },
            { method: "POST", path: "/redwinglift/orders", handle: orders.handleOrder },
            { method: "POST", path: "/redwinglift/cancel", handle: cancelAttempt },
            ...exchange.routes,
        ],
    });
    return {
        address: server.address,
        port: server.port,
        controlPort: server.controlPort,
        readVersion: () => orders.readState().version,
        listExecutedOrders: orders.listExecuted,
        countStarts: generations.countStarts,
        countActive: () => task.engine.running.length + task.engine.waiting.length,
        countPrefilledTokens: () => task.engine.prefilledTokens,
        countConnections: server.countConnections,
        setFaults: server.setFaults,
        dispose: () => {
            task.dispose();
            weights?.pool.dispose();
            server.dispose();
        },
    };
}
