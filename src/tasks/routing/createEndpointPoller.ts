/**
 * @module Reading load reports and cache events, and probing, at their due times.
 */
import type { Random } from "../../base/createRandom";
import type { Candidate } from "../../decisions/routing/candidate";
import { computeCachePeriod } from "../../decisions/routing/computeCachePeriod";
import { computeReportPeriod } from "../../decisions/routing/computeReportPeriod";
import type { RoutingState } from "../../decisions/routing/routingState";
import { VmRole } from "../../model/endpoint";
import type { ApplicationRunnerPort } from "../../ports/applicationRunner";
import type { ModelRunnerPort } from "../../ports/modelRunner";
import { FAILED_REPORTS_UNTIL_PROBE, READ_TIMEOUT_MS } from "./constants";
import { type RoutingMessage, RoutingMessageKind } from "./routingMessage";

/** What the polls need. */
export interface EndpointPollDependencies {
    readonly random: Random;
    readonly modelRunners: Pick<ModelRunnerPort, "readLoad" | "listCacheEvents" | "probeRunner">;
    readonly applicationRunners: Pick<ApplicationRunnerPort, "readLoad" | "probeRunner">;
    /** Sends a result to the routing task. */
    readonly offer: (message: RoutingMessage) => void;
}

/** The polls of all endpoints. */
export interface EndpointPolls {
    /** Starts the reads and probes that are due. */
    startDue(state: RoutingState, nowMs: number): void;
    /** Notes a read's result; after several failures in a row the endpoint is probed. */
    recordRead(candidate: Candidate, hasFailed: boolean): void;
    /** Notes how many cache events a read gave, which decides when the next one is due. */
    recordCacheEvents(candidate: Candidate, count: number): void;
    /** Probes an endpoint on a new connection. */
    probeEndpoint(candidate: Candidate): void;
}

interface PollState {
    loadDueAtMs: number;
    cacheDueAtMs: number;
    /** Events of the last read. */
    cacheEvents: number;
    failedReads: number;
    isProbing: boolean;
}

/**
 * Creates the polls.
 *
 * @param dependencies - What they need
 * @returns The polls
 * @example
 * const polls = createEndpointPolls({ random, modelRunners, applicationRunners, offer });
 */
export function createEndpointPolls(dependencies: EndpointPollDependencies): EndpointPolls {
    const { random, modelRunners, applicationRunners, offer } = dependencies;
    const polls = new WeakMap<Candidate, PollState>();
    const drawJitter = (periodMs: number) => periodMs * (0.75 + 0.5 * random.drawFraction());

    const readPoll = (candidate: Candidate, nowMs: number): PollState => {
        const known = polls.get(candidate);
        if (known !== undefined) {
            return known;
        }
        const created = { loadDueAtMs: nowMs, cacheDueAtMs: nowMs, cacheEvents: 0, failedReads: 0, isProbing: false };
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
        const poll = readPoll(candidate, 0);
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
    const startCandidate = (candidate: Candidate, endpointCount: number, nodeCount: number, nowMs: number) => {
        const poll = readPoll(candidate, nowMs);
        if (poll.loadDueAtMs <= nowMs) {
            poll.loadDueAtMs = nowMs + READ_TIMEOUT_MS;
            void readLoad(candidate).then(() => {
                poll.loadDueAtMs = nowMs + drawJitter(computeReportPeriod(endpointCount, nodeCount));
            });
        }
        if (candidate.endpoint.role === VmRole.ModelRunner && poll.cacheDueAtMs <= nowMs) {
            poll.cacheDueAtMs = nowMs + READ_TIMEOUT_MS;
            void readCacheEvents(candidate).then(() => {
                const periodMs = computeCachePeriod(endpointCount, poll.cacheEvents, nodeCount);
                poll.cacheDueAtMs = nowMs + drawJitter(periodMs);
            });
        }
        const { removedUntilMs, isOnTrial } = candidate.outcomes;
        if (removedUntilMs !== -Infinity && !isOnTrial && removedUntilMs <= nowMs) {
            probeEndpoint(candidate);
        }
    };
    return {
        startDue: (state, nowMs) => {
            const services = [...state.services.values()];
            const endpointCount = services.reduce((sum, service) => sum + service.candidates.length, 0);
            for (const service of services) {
                for (const candidate of service.candidates) {
                    startCandidate(candidate, endpointCount, state.nodeCount, nowMs);
                }
            }
        },
        recordRead: (candidate, hasFailed) => {
            const poll = readPoll(candidate, 0);
            poll.failedReads = hasFailed ? poll.failedReads + 1 : 0;
            if (poll.failedReads >= FAILED_REPORTS_UNTIL_PROBE) {
                poll.failedReads = 0;
                probeEndpoint(candidate);
            }
        },
        recordCacheEvents: (candidate, count) => {
            readPoll(candidate, 0).cacheEvents = count;
        },
        probeEndpoint,
    };
}
