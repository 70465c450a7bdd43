/**
 * @module The task that chooses the endpoint of each attempt.
 */
import { err, type Result } from "neverthrow";
import type { Clock } from "../../base/clock";
import { createDisposableStore } from "../../base/createDisposableStore";
import { createFailure } from "../../base/createFailure";
import type { Random } from "../../base/createRandom";
import { closeChannel, createChannel, offerMessage, superviseTask, takeBatch, waitFor } from "../../base/csp";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { type Failure, FailureKind } from "../../base/failure";
import { applyCacheEvents } from "../../decisions/routing/applyCacheEvents";
import { applyEndpoints } from "../../decisions/routing/applyEndpoints";
import { applyLoadDigest } from "../../decisions/routing/applyLoadDigest";
import { applyLoadReport } from "../../decisions/routing/applyLoadReport";
import { applyPrices } from "../../decisions/routing/applyPrices";
import { buildLoadDigest } from "../../decisions/routing/buildLoadDigest";
import { computeDigestPeriod } from "../../decisions/routing/computeDigestPeriod";
import { TICK_MS } from "../../decisions/routing/constants";
import { createRoutingState } from "../../decisions/routing/createRoutingState";
import { decideRoute } from "../../decisions/routing/decideRoute";
import { decodeLoadDigest } from "../../decisions/routing/decodeLoadDigest";
import { encodeLoadDigest } from "../../decisions/routing/encodeLoadDigest";
import { findCostAtTarget } from "../../decisions/routing/findCostAtTarget";
import { readServiceCapacity } from "../../decisions/routing/readServiceCapacity";
import { recordAttemptReport } from "../../decisions/routing/recordAttemptReport";
import { recordDemand } from "../../decisions/routing/recordDemand";
import { recordProbe } from "../../decisions/routing/recordProbe";
import { refreshRouting } from "../../decisions/routing/refreshRouting";
import type { CapacitySource } from "../../decisions/routing/serviceCapacity";
import type { Endpoint, Placement, VmRecord } from "../../model/endpoint";
import { ExchangeTopic, type NodeExchange } from "../../nodes/nodeExchange";
import type { ApplicationRunnerPort } from "../../ports/applicationRunner";
import type { CloudPort, VmPrice } from "../../ports/cloud";
import type { ModelRunnerPort } from "../../ports/modelRunner";
import type { ConfigurationClient } from "../configuration/configurationClient";
import type { DirectoryClient } from "../directory/directoryClient";
import { QUEUED_CHOICES_LIMIT, INBOX_CAPACITY, PRICE_REFRESH_PERIOD_MS } from "./constants";
import { createEndpointPoller } from "./createEndpointPoller";
import { createEndpointWatchers } from "./createEndpointWatchers";
import { dumpRouting } from "./dumpRouting";
import type { AttemptReport, RouteDecision, RoutingClient } from "./routingClient";
import { type RoutingMessage, RoutingMessageKind as Kind } from "./routingMessage";

/** Dependencies of the routing task. */
export interface RoutingDependencies {
    readonly clock: Clock;
    readonly random: Random;
    readonly nodeId: string;
    /** Region and failure domain of this node. */
    readonly placement: Placement;
    readonly configuration: Pick<ConfigurationClient, "readCurrent">;
    readonly directory: DirectoryClient;
    readonly exchange: NodeExchange;
    readonly modelRunners: Pick<ModelRunnerPort, "readLoad" | "listCacheEvents" | "probeRunner">;
    readonly applicationRunners: Pick<ApplicationRunnerPort, "readLoad" | "probeRunner">;
    readonly cloud: Pick<CloudPort, "listPrices">;
    /** Whether a version of a service is braked on this node, that is, receives no requests because it is faulty. */
    readonly isBraked: (serviceName: string, version: string) => boolean;
    readonly reportFailure: (name: string, failure: Failure) => void;
}

/** Facts about the attempt that a report belongs to. */
export interface AttemptFacts {
    readonly endpoint: Endpoint;
    readonly route: string;
    /** Requests in progress at the endpoint, as far as this node knows. */
    readonly endpointRequests: number;
}

/** Receives each report about an attempt. */
export type ReportListener = (report: AttemptReport, facts: AttemptFacts) => void;

/** The running routing task. */
export interface RoutingTask extends RoutingClient, CapacitySource, DumpSource, Disposable {
    /** Calls `listener` for each report about a known attempt; the returned function unsubscribes. */
    subscribeReports(listener: ReportListener): () => void;
}

type Handlers = { readonly [K in Kind]: (message: Extract<RoutingMessage, { kind: K }>) => void };

/**
 * Creates the routing task.
 *
 * @param dependencies - Ports, configuration, directory and exchange
 * @returns The task's client, with its capacity, dump and disposal
 * @example
 * const routing = createRoutingTask({ clock, random, nodeId, placement, ...others });
 */
export function createRoutingTask(dependencies: RoutingDependencies): RoutingTask {
    const { clock, random, configuration, directory, exchange, isBraked } = dependencies;
    const state = createRoutingState(dependencies.nodeId, dependencies.placement);
    const store = createDisposableStore();
    const inbox = createChannel<RoutingMessage>(INBOX_CAPACITY);
    const watchers = createEndpointWatchers(clock);
    const listeners = new Set<ReportListener>();
    const counters = { choices: 0, refused: 0, lostMessages: 0 };
    let queuedChoices = 0;
    let digestDueAtMs = 0;
    let prices: readonly VmPrice[] = [];

    const offer = (message: RoutingMessage) => {
        counters.lostMessages += offerMessage(inbox, message) || store.isDisposed ? 0 : 1;
    };
    const poller = createEndpointPoller({ ...dependencies, offer });
    const handleChoice: Handlers[Kind.Choice] = ({ query, reply }) => {
        const nowMs = clock.readMonotonicMs();
        let result: Result<RouteDecision, Failure> = err(
            createFailure(FailureKind.Internal, "Choosing an endpoint failed."),
        );
        queuedChoices--;
        try {
            result = decideRoute(state, query, { configuration: configuration.readCurrent(), random, isBraked, nowMs });
        } finally {
            counters.choices++;
            counters.refused += result.isErr() ? 1 : 0;
            reply(result);
        }
    };
    const recordReport: Handlers[Kind.Report] = ({ report }) => {
        const attempt = recordAttemptReport(state, report, clock.readMonotonicMs());
        if (attempt === undefined) {
            return;
        }
        if (report.failure?.kind === FailureKind.EndpointSilent) {
            poller.probeEndpoint(attempt.candidate);
        }
        const { candidate, route } = attempt;
        const endpointRequests = candidate.ownInFlight + candidate.othersInFlight;
        const facts: AttemptFacts = { endpoint: candidate.endpoint, route, endpointRequests };
        listeners.forEach(listener => listener(report, facts));
    };
    const publishDigest = (nowMs: number) => {
        if (nowMs < digestDueAtMs) {
            return;
        }
        const digest = encodeLoadDigest(buildLoadDigest(state, nowMs));
        const periodMs = computeDigestPeriod(state.nodeCount, digest.length);
        digestDueAtMs = nowMs + periodMs * (0.75 + 0.5 * random.drawFraction());
        exchange.publishUpdate(ExchangeTopic.LoadDigest, "", digest);
    };
    const handlers: Handlers = {
        [Kind.Choice]: handleChoice,
        [Kind.Report]: recordReport,
        [Kind.Vms]: ({ vms }) => {
            applyEndpoints(state, vms);
            applyPrices(state, prices);
        },
        [Kind.Load]: ({ candidate, load }) => {
            if (load !== undefined) {
                applyLoadReport(candidate, load, clock.readMonotonicMs());
            }
            poller.recordReadResult(candidate, load === undefined);
        },
        [Kind.CacheEvents]: ({ candidate, events }) => {
            const service = state.services.get(candidate.endpoint.serviceName);
            if (service?.candidates.includes(candidate) === true) {
                state.counters.lostCacheEvents += applyCacheEvents(service.index, candidate, events);
            }
            poller.recordCacheEventCount(candidate, events.length);
        },
        [Kind.Probe]: ({ candidate, isAlive }) => {
            const peers = state.services.get(candidate.endpoint.serviceName)?.candidates ?? [];
            recordProbe(candidate, isAlive, peers, clock.readMonotonicMs());
        },
        [Kind.Prices]: message => {
            prices = message.prices;
            applyPrices(state, prices);
        },
        [Kind.Digest]: ({ nodeId, payload }) => {
            applyLoadDigest(state, nodeId, decodeLoadDigest(payload), clock.readMonotonicMs());
        },
        [Kind.Tick]: () => {
            const nowMs = clock.readMonotonicMs();
            state.nodeCount = Math.max(1, exchange.listLiveNodeIds().length);
            refreshRouting(state, nowMs);
            poller.startDuePolls(state, nowMs);
            publishDigest(nowMs);
        },
    };

    const supervision = { clock, reportFailure: dependencies.reportFailure };
    void superviseTask(
        "routing",
        function* () {
            for (let batch = yield* takeBatch(inbox); batch !== undefined; batch = yield* takeBatch(inbox)) {
                batch.forEach(message => handlers[message.kind](message as never));
            }
        },
        supervision,
    );
    const startLoop = (name: string, periodMs: number, run: () => Promise<void>) => {
        void superviseTask(
            name,
            function* () {
                while (!store.isDisposed) {
                    yield* waitFor(run());
                    yield* waitFor(clock.waitMs(periodMs));
                }
            },
            supervision,
        );
    };
    startLoop("routing-tick", TICK_MS, async () => offer({ kind: Kind.Tick }));
    startLoop("routing-prices", PRICE_REFRESH_PERIOD_MS, async () => {
        const listed = await dependencies.cloud.listPrices();
        if (listed.isOk()) {
            offer({ kind: Kind.Prices, prices: listed.value });
        }
    });
    const applyVms = (vms: readonly VmRecord[]) => {
        watchers.updateVms(vms);
        offer({ kind: Kind.Vms, vms });
    };
    applyVms(directory.listVms());
    store.add({ dispose: directory.subscribeChanges(applyVms) });
    store.add({
        dispose: exchange.subscribeTopic(ExchangeTopic.LoadDigest, ({ fromNodeId, payload }) => {
            offer({ kind: Kind.Digest, nodeId: fromNodeId, payload });
        }),
    });
    store.add({ dispose: () => closeChannel(inbox) });

    return {
        name: "routing",
        chooseEndpoint: query =>
            new Promise(reply => {
                const isFull = queuedChoices >= QUEUED_CHOICES_LIMIT;
                if (isFull || !offerMessage(inbox, { kind: Kind.Choice, query, reply })) {
                    const message = "The routing queue is full.";
                    reply(err(createFailure(FailureKind.NoEndpoint, message, { retryAfterMs: 1_000 })));
                } else {
                    queuedChoices++;
                }
            }),
        recordReport: report => offer({ kind: Kind.Report, report }),
        watchEndpoint: watchers.watchEndpoint,
        subscribeReports: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        readCapacity: (serviceName, costCeilingMicros) =>
            readServiceCapacity(state, serviceName, {
                configuration: configuration.readCurrent(),
                isBraked,
                costCeilingMicros,
                nowMs: clock.readMonotonicMs(),
            }),
        findCostAtTarget: (serviceName, promptTokens, targetMs) =>
            findCostAtTarget(state.services.get(serviceName)?.candidates ?? [], promptTokens, targetMs),
        recordDemand: (serviceName, costTokens) => {
            const service = state.services.get(serviceName);
            if (service !== undefined) {
                recordDemand(service, costTokens, clock.readMonotonicMs());
            }
        },
        dumpState: () => ({
            ...counters,
            watched: watchers.countWatchedEndpoints(),
            ...(dumpRouting(state, clock.readMonotonicMs()) as object),
        }),
        dispose: () => store.dispose(),
    };
}
