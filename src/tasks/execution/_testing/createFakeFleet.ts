/**
 * @module In-memory runners, routing and admission with injected faults. Answers are predictable, so that every byte a
 * caller receives can be checked.
 */
import { err, ok } from "neverthrow";
import type { ManualClock } from "../../../base/createManualClock";
import { createFailure } from "../../../base/createFailure";
import { type Channel, closeChannel, createChannel, offerMessage } from "../../../base/csp";
import { Execution, FailureKind } from "../../../base/failure";
import { hashText } from "../../../base/hashText";
import { type Endpoint, VmRole } from "../../../model/endpoint";
import type { ApplicationRunnerPort } from "../../../ports/applicationRunner";
import type { ModelRunnerPort } from "../../../ports/modelRunner";
import type { AdmissionClient } from "../../admission/admissionClient";
import { AttemptReportKind, type EndpointNotice, type RoutingClient } from "../../routing/routingClient";
import { CallFault, type StreamFault } from "./faults";
import { openFakeGeneration } from "./openFakeGeneration";

/** Settings of the fake fleet. */
export interface FakeFleetOptions {
    readonly clock: ManualClock;
    readonly endpoints: number;
    /** Draws the fault of each attempt at a model runner. */
    readonly drawStreamFault?: (requestId: string, attempt: number) => StreamFault;
    /** Draws the fault of each call to an application runner. */
    readonly drawCallFault?: (requestId: string, attempt: number) => CallFault;
    /** Whether runners export and import KV cache (default true). */
    readonly canTransfer?: boolean;
    /** Milliseconds that choosing an endpoint takes (default 0). */
    readonly routingMs?: number;
    /** Milliseconds to the first token (default 60). */
    readonly firstTokenMs?: number;
    /** Milliseconds between token batches (default 20). */
    readonly tokenGapMs?: number;
}

/** State of one fake runner. */
export interface FakeEndpoint {
    readonly endpoint: Endpoint;
    isLeaving: boolean;
    isGone: boolean;
    readonly watchers: Set<Channel<EndpointNotice>>;
    /** Called when the endpoint stops, to break its streams. */
    readonly goneListeners: Set<() => void>;
}

/** Calls recorded by the fakes, for assertions. */
export interface FleetRecord {
    /** Number of attempts whose bytes were sent, by request. */
    readonly sent: Map<string, number>;
    /** Number of attempts whose bytes were sent, by the content of their last message. */
    readonly sentPrompts: Map<string, number>;
    /** Number of times that a service call took effect, by request. */
    readonly effects: Map<string, number>;
    /** Attempts that routing has counted and whose end has not been reported. */
    readonly openAttempts: Set<string>;
    /** Admitted requests that have not been finished. */
    readonly admitted: Set<string>;
    /** Attempts that did not continue the expected answer, or named a cache that was never exported. */
    readonly invalidResumes: string[];
    /** Attempts sent to an endpoint after its reclaim notice. */
    readonly attemptsAtLeavingEndpoints: string[];
    attempts: number;
    probes: number;
    exports: number;
}

/** A fake fleet. */
export interface FakeFleet {
    readonly models: ModelRunnerPort;
    readonly applications: ApplicationRunnerPort;
    readonly routing: RoutingClient;
    readonly admission: AdmissionClient;
    readonly endpoints: readonly FakeEndpoint[];
    readonly record: FleetRecord;
    /** Sends a reclaim notice; the endpoint is gone `noticeMs` later. */
    reclaimEndpoint(index: number, noticeMs: number): void;
    /** Stops an endpoint without notice; it restarts after `restartMs`. */
    failEndpoint(index: number, restartMs: number): void;
}

/**
 * Creates a fleet of fake runners with routing and admission.
 *
 * @param options - Clock, size and faults
 * @returns The ports and clients, and the record of their calls
 * @example
 * const fleet = createFakeFleet({ clock, endpoints: 4 });
 */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
    const { clock } = options;
    const record: FleetRecord = {
        sent: new Map(),
        sentPrompts: new Map(),
        effects: new Map(),
        openAttempts: new Set(),
        admitted: new Set(),
        invalidResumes: [],
        attemptsAtLeavingEndpoints: [],
        attempts: 0,
        probes: 0,
        exports: 0,
    };
    const endpoints = Array.from({ length: options.endpoints }, (_unused, index) => createEndpoint(index));
    const findEndpoint = (endpointId: string) => endpoints.find(other => other.endpoint.endpointId === endpointId);
    const endEndpoint = (fake: FakeEndpoint) => {
        fake.isGone = true;
        [...fake.goneListeners].forEach(listener => listener());
        fake.goneListeners.clear();
    };
    return {
        endpoints,
        record,
        models: createModels(options, record, findEndpoint),
        applications: createApplications(options, record, findEndpoint),
        routing: createRouting(options, endpoints, record),
        admission: {
            requestAdmission: request => {
                record.admitted.add(request.context.requestId);
                return Promise.resolve(ok(undefined));
            },
            cancelAdmission: () => undefined,
            finishRequest: requestId => void record.admitted.delete(requestId),
        },
        reclaimEndpoint: (index, noticeMs) => {
            const fake = endpoints[index] as FakeEndpoint;
            fake.isLeaving = true;
            const notice = { endpointId: fake.endpoint.endpointId, goneAtMs: clock.readMonotonicMs() + noticeMs };
            fake.watchers.forEach(watcher => offerMessage(watcher, notice));
            void clock.waitMs(noticeMs).then(() => endEndpoint(fake));
        },
        failEndpoint: (index, restartMs) => {
            const fake = endpoints[index] as FakeEndpoint;
            endEndpoint(fake);
            void clock.waitMs(restartMs).then(() => {
                fake.isGone = false;
            });
        },
    };
}

function createEndpoint(index: number): FakeEndpoint {
    const endpoint: Endpoint = {
        endpointId: `runner-${index}`,
        role: VmRole.ModelRunner,
        address: "127.0.0.1",
        port: 1,
        serviceName: "chat",
        version: "1",
        machineClass: "a",
        isReclaimable: true,
        region: "north",
        failureDomain: `north-${index % 3}`,
    };
    return { endpoint, isLeaving: false, isGone: false, watchers: new Set(), goneListeners: new Set() };
}

function createRouting(
    options: FakeFleetOptions,
    endpoints: readonly FakeEndpoint[],
    record: FleetRecord,
): RoutingClient {
    return {
        chooseEndpoint: async query => {
            if (options.routingMs !== undefined) {
                await options.clock.waitMs(options.routingMs);
            }
            const open = endpoints.filter(
                ({ endpoint, isLeaving }) => !isLeaving && !query.excludedEndpointIds.includes(endpoint.endpointId),
            );
            const chosen = open[hashText(`${query.id.requestId}/${query.id.attempt}`) % Math.max(1, open.length)];
            if (chosen === undefined) {
                return err(createFailure(FailureKind.NoEndpoint, "There is no endpoint."));
            }
            record.attempts++;
            record.openAttempts.add(`${query.id.requestId}/${query.id.attempt}`);
            return ok({ endpoint: chosen.endpoint, estimatedFirstTokenMs: 100 });
        },
        recordReport: report => {
            const isEnd = report.kind !== AttemptReportKind.FirstToken && report.kind !== AttemptReportKind.Tokens;
            if (isEnd) {
                record.openAttempts.delete(`${report.id.requestId}/${report.id.attempt}`);
            }
        },
        watchEndpoint: endpointId => {
            const notices = createChannel<EndpointNotice>(4);
            const watchers = endpoints.find(fake => fake.endpoint.endpointId === endpointId)?.watchers;
            watchers?.add(notices);
            return {
                notices,
                release: () => {
                    watchers?.delete(notices);
                    closeChannel(notices);
                },
            };
        },
    };
}

type FindEndpoint = (endpointId: string) => FakeEndpoint | undefined;

function createModels(options: FakeFleetOptions, record: FleetRecord, findEndpoint: FindEndpoint): ModelRunnerPort {
    const { clock } = options;
    const refuse = () => err(createFailure(FailureKind.EndpointRefused, "The fake runner does not support this."));
    const caches = new Set<string>();
    return {
        openGeneration: (endpoint, request) =>
            openFakeGeneration({ options, record, caches }, findEndpoint(endpoint.endpointId) as FakeEndpoint, request),
        probeRunner: async endpoint => {
            record.probes++;
            await clock.waitMs(2);
            const isGone = findEndpoint(endpoint.endpointId)?.isGone ?? true;
            return isGone
                ? err(createFailure(FailureKind.EndpointSilent, "The probe was not answered."))
                : ok(undefined);
        },
        exportCache: async (endpoint, id) => {
            await clock.waitMs(20);
            if (options.canTransfer === false || (findEndpoint(endpoint.endpointId)?.isGone ?? true)) {
                return refuse();
            }
            record.exports++;
            const cacheId = `${id.requestId}/${id.attempt}`;
            caches.add(cacheId);
            return ok({ cacheId, bytes: 1_000, tokens: 1_000_000 });
        },
        importCache: async (endpoint, from) => {
            await clock.waitMs(20);
            const isLost = [endpoint, from].some(({ endpointId }) => findEndpoint(endpointId)?.isGone ?? true);
            return isLost ? refuse() : ok(undefined);
        },
        readLoad: () => Promise.resolve(refuse()),
        listCacheEvents: () => Promise.resolve(refuse()),
        sendOrder: () => Promise.resolve(refuse()),
        readState: () => Promise.resolve(refuse()),
    };
}

function createApplications(
    options: FakeFleetOptions,
    record: FleetRecord,
    findEndpoint: FindEndpoint,
): ApplicationRunnerPort {
    const { clock } = options;
    const refuse = () => err(createFailure(FailureKind.EndpointRefused, "The fake runner does not support this."));
    return {
        callService: async (endpoint, id, call, { timeoutMs }) => {
            const isGone = findEndpoint(endpoint.endpointId)?.isGone ?? true;
            const drawn = options.drawCallFault?.(id.requestId, id.attempt) ?? CallFault.None;
            const fault = isGone ? CallFault.Refused : drawn;
            if (fault === CallFault.Refused) {
                return err(createFailure(FailureKind.EndpointFailed, "The connection was refused."));
            }
            record.sent.set(id.requestId, (record.sent.get(id.requestId) ?? 0) + 1);
            await clock.waitMs(10);
            if (fault !== CallFault.LostBefore) {
                record.effects.set(id.requestId, (record.effects.get(id.requestId) ?? 0) + 1);
            }
            if (fault === CallFault.Silent) {
                await clock.waitMs(timeoutMs);
            }
            if (fault !== CallFault.None) {
                const execution = { execution: Execution.Unknown };
                return err(createFailure(FailureKind.EndpointSilent, "The answer was lost.", execution));
            }
            return ok({ status: 200, headers: {}, body: Buffer.from(`done ${call.body.toString("utf8")}`) });
        },
        readLoad: () => Promise.resolve(refuse()),
        probeRunner: () => Promise.resolve(ok(undefined)),
    };
}
