/**
 * @module Polls endpoints for load reports and cache events, and probes them, when due.
 */
import type { Random } from "../../base/createRandom";
import type { Candidate } from "../../decisions/routing/candidate";
import { computeCachePeriod } from "../../decisions/routing/computeCachePeriod";
import { computeReportPeriod } from "../../decisions/routing/computeReportPeriod";
import type { RoutingState } from "../../decisions/routing/routingState";
import { VmRole } from "../../model/endpoint";
import type { ApplicationRunnerPort } from "../../ports/applicationRunner";
import type { ModelRunnerPort } from "../../ports/modelRunner";
import { CONSECUTIVE_READ_FAILURES_UNTIL_PROBE, READ_TIMEOUT_MS } from "./constants";
import { type RoutingMessage, RoutingMessageKind } from "./routingMessage";

/** Dependencies of the poller. */
export interface EndpointPollerDependencies {
    readonly random: Random;
    readonly modelRunners: Pick<ModelRunnerPort, "readLoad" | "listCacheEvents" | "probeRunner">;
    readonly applicationRunners: Pick<ApplicationRunnerPort, "readLoad" | "probeRunner">;
    /** Sends a result to the routing task. */
    readonly offer: (message: RoutingMessage) => void;
}

/** Polls all endpoints. */
export interface EndpointPoller {
    /** Starts the reads and probes that are due. */
    startDuePolls(state: RoutingState, nowMs: number): void;
    /** Records the result of a load read; after several consecutive failures the endpoint is probed. */
    recordReadResult(candidate: Candidate, hasFailed: boolean): void;
    /** Records how many cache events a read returned, which determines when the next read is due. */
    recordCacheEventCount(candidate: Candidate, count: number): void;
    /** Probes an endpoint on a new connection. */
    probeEndpoint(candidate: Candidate): void;
}

interface PollState {
    loadDueAtMs: number;
    cacheDueAtMs: number;
    /** Cache events returned by the last read. */
    lastCacheEventCount: number;
    consecutiveFailures: number;
    isProbing: boolean;
}

/**
 * Creates the poller.
 *
 * @param dependencies - Ports and the callback for results
 * @returns The poller
 * @example
 * const poller = createEndpointPoller({ random, modelRunners, applicationRunners, offer });
 */
export function createEndpointPoller(dependencies: EndpointPollerDependencies): EndpointPoller {
    const { random, modelRunners, applicationRunners, offer } = dependencies;
    const polls = new WeakMap<Candidate, PollState>();
    const drawJitter = (periodMs: number) => periodMs * (0.75 + 0.5 * random.drawFraction());

    const ensurePoll = (candidate: Candidate, nowMs: number): PollState => {
        const known = polls.get(candidate);
        if (known !== undefined) {
            return known;
        }
        const created = {
            loadDueAtMs: nowMs,
            cacheDueAtMs: nowMs,
            lastCacheEventCount: 0,
            consecutiveFailures: 0,
            isProbing: false,
        };
        polls.set(candidate, created);
        return created;
    };
    const selectPort = (candidate: Candidate) =>
        candidate.endpoint.role === VmRole.ModelRunner ? modelRunners : applicationRunners;
    const readLoad = async (candidate: Candidate) => {
        const load = await selectPort(candidate).readLoad(candidate.endpoint);
        offer({ kind: RoutingMessageKind.Load, candidate, load: load.unwrapOr(undefined) });
    };
    const readCacheEvents = async (candidate: Candidate) => {
        const events = await modelRunners.listCacheEvents(candidate.endpoint, candidate.cacheSequence);
        if (events.isOk()) {
            offer({ kind: RoutingMessageKind.CacheEvents, candidate, events: events.value });
        }
    };
    const probeEndpoint = (candidate: Candidate) => {
        const poll = ensurePoll(candidate, 0);
        if (poll.isProbing) {
            return;
        }
        poll.isProbing = true;
        void selectPort(candidate)
            .probeRunner(candidate.endpoint)
            .then(result => {
                poll.isProbing = false;
                offer({ kind: RoutingMessageKind.Probe, candidate, isAlive: result.isOk() });
            });
    };
    const startDuePollsOf = (candidate: Candidate, endpointCount: number, nodeCount: number, nowMs: number) => {
        const poll = ensurePoll(candidate, nowMs);
        if (poll.loadDueAtMs <= nowMs) {
            poll.loadDueAtMs = nowMs + READ_TIMEOUT_MS;
            void readLoad(candidate).then(() => {
                poll.loadDueAtMs = nowMs + drawJitter(computeReportPeriod(endpointCount, nodeCount));
            });
        }
        if (candidate.endpoint.role === VmRole.ModelRunner && poll.cacheDueAtMs <= nowMs) {
            poll.cacheDueAtMs = nowMs + READ_TIMEOUT_MS;
            void readCacheEvents(candidate).then(() => {
                const periodMs = computeCachePeriod(endpointCount, poll.lastCacheEventCount, nodeCount);
                poll.cacheDueAtMs = nowMs + drawJitter(periodMs);
            });
        }
        const { removedUntilMs, isOnTrial } = candidate.outcomes;
        if (removedUntilMs !== -Infinity && !isOnTrial && removedUntilMs <= nowMs) {
            probeEndpoint(candidate);
        }
    };
    return {
        startDuePolls: (state, nowMs) => {
            const services = [...state.services.values()];
            const endpointCount = services.reduce((sum, service) => sum + service.candidates.length, 0);
            for (const service of services) {
                for (const candidate of service.candidates) {
                    startDuePollsOf(candidate, endpointCount, state.nodeCount, nowMs);
                }
            }
        },
        recordReadResult: (candidate, hasFailed) => {
            const poll = ensurePoll(candidate, 0);
            poll.consecutiveFailures = hasFailed ? poll.consecutiveFailures + 1 : 0;
            if (poll.consecutiveFailures >= CONSECUTIVE_READ_FAILURES_UNTIL_PROBE) {
                poll.consecutiveFailures = 0;
                probeEndpoint(candidate);
            }
        },
        recordCacheEventCount: (candidate, count) => {
            ensurePoll(candidate, 0).lastCacheEventCount = count;
        },
        probeEndpoint,
    };
}
