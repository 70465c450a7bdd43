/**
 * @module A stand-in for an application runner: a plain service that executes calls and remembers each execution.
 */
import { createRandom } from "../base/createRandom";
import { createSystemClock } from "../base/createSystemClock";
import type { Disposable } from "../base/disposableStore";
import type { StandinCall, StandinReply } from "./_lib/standinCall";
import { type StandinOptions, startStandinServer } from "./_lib/startStandinServer";
import { APPLICATION_LATENCY_MS } from "./constants";
import { type FaultFacts, FaultKind, type FaultSwitches } from "./fault";
import { createLoadHistory } from "./modelRunner/createLoadHistory";
import { HttpStatus } from "../adapters/_lib/httpStatus";

/** Settings of the application runner stand-in. */
export interface ApplicationRunnerStandinOptions extends StandinOptions {
    readonly serviceName?: string;
    /** Version at the start (default `v1`). */
    readonly version?: string;
    /** Shortest duration of a call; the longest is twice that, drawn from the seed. */
    readonly latencyMs?: number;
    /** Age of load reports (default 0). */
    readonly loadLagMs?: number;
}

/** One execution of a call. */
export interface ServiceExecution {
    /** The call's `idempotency-key`, else its request id, else empty. */
    readonly key: string;
    readonly method: string;
    readonly path: string;
    readonly body: string;
}

/** A running application runner stand-in. */
export interface ApplicationRunnerStandin extends FaultSwitches, Disposable {
    readonly address: string;
    readonly port: number;
    /** Port of `/faults` that answers also while the runner is down. */
    readonly controlPort: number;
    /** All executions so far, in order. */
    listExecutions(): readonly ServiceExecution[];
    /** How often calls with an idempotency key were executed; more than once is a doubled effect. */
    countExecutions(key: string): number;
    countConnections(): number;
}

/**
 * Starts an application runner stand-in on loopback. It executes every call it gets, also one with a key it has seen,
 * as a service without protection against repeats does.
 *
 * @param options - Latency, version, lags, seed, port and clock
 * @returns The stand-in, listening
 * @example
 * const runner = await createApplicationRunnerStandin({ latencyMs: 1 });
 * runner.countExecutions("payout-17"); //=> 0
 */
export async function createApplicationRunnerStandin(
    options: ApplicationRunnerStandinOptions = {},
): Promise<ApplicationRunnerStandin> {
    const clock = options.clock ?? createSystemClock();
    const random = createRandom(options.seed ?? 1);
    const latencyMs = options.latencyMs ?? APPLICATION_LATENCY_MS;
    const version = options.version ?? "v1";
    const executions: ServiceExecution[] = [];
    const countsByKey = new Map<string, number>();
    let running = 0;
    const readFacts = (): FaultFacts => ({ version, running });
    const countExecutions = (key: string) => countsByKey.get(key) ?? 0;

    const executeCall = async (call: StandinCall): Promise<StandinReply> => {
        const facts = { ...readFacts(), route: call.path };
        const key = readHeader(call, "idempotency-key") ?? readHeader(call, "redwinglift-request-id") ?? "";
        running++;
        history.recordSample();
        countsByKey.set(key, countExecutions(key) + 1);
        executions.push({ key, method: call.method, path: call.path, body: call.body.toString("utf8") });
        const slowMs = server.gate.strike(FaultKind.VersionSlow, facts)?.delayMs ?? 0;
        await clock.waitMs(latencyMs * (1 + random.drawFraction()) + slowMs);
        running--;
        history.recordSample();
        const headers = createIdentityHeaders(call);
        if (server.gate.strike(FaultKind.VersionFailing, facts) !== undefined) {
            return {
                status: HttpStatus.InternalServerError,
                body: { error: { message: "The service failed." } },
                headers,
            };
        }
        return {
            status: HttpStatus.Ok,
            body: { service: options.serviceName, version, path: call.path, executions: countExecutions(key) },
            headers,
        };
    };
    const history = createLoadHistory(clock, () => ({
        running,
        waiting: 0,
        pendingPrefillTokens: 0,
        cacheUse: 0,
        prefillTokensPerSecond: 0,
        tokenGapMs: 0,
    }));
    const readLoad = (): StandinReply => {
        history.recordSample();
        const extraMs = server.gate.strike(FaultKind.LoadLagging)?.delayMs ?? 0;
        const { sample, ageMs } = history.readSample((options.loadLagMs ?? 0) + extraMs);
        return { status: HttpStatus.Ok, body: { ...sample, ageMs } };
    };
    const server = await startStandinServer({
        ...options,
        clock,
        readFacts,
        routes: [
            { method: "GET", path: "/health", handle: () => ({ status: HttpStatus.Ok }) },
            { method: "GET", path: "/redwinglift/load", handle: readLoad },
            {
                method: "GET",
                path: "/redwinglift/executions",
                handle: () => ({ status: HttpStatus.Ok, body: { executions } }),
            },
            { path: "/", handle: executeCall },
        ],
    });
    return {
        address: server.address,
        port: server.port,
        controlPort: server.controlPort,
        listExecutions: () => executions,
        countExecutions,
        countConnections: server.countConnections,
        setFaults: server.setFaults,
        dispose: server.dispose,
    };
}

function readHeader(call: StandinCall, name: string): string | undefined {
    const value = call.headers[name];
    return typeof value === "string" ? value : undefined;
}

function createIdentityHeaders(call: StandinCall): Readonly<Record<string, string>> {
    const requestId = readHeader(call, "redwinglift-request-id");
    const attempt = readHeader(call, "redwinglift-attempt");
    return requestId === undefined || attempt === undefined
        ? {}
        : { "redwinglift-request-id": requestId, "redwinglift-attempt": attempt };
}
