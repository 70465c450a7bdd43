/**
 * @module Counters and latency histograms of a gateway, in the Prometheus text format.
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { RolloutPhase } from "../../model/gateway";
import type { LimitAction } from "../../http/installConnectionLimit";
import type { BodyMemory } from "../callers/createBodyMemory";
import type { CallerCounts } from "../callers/callerCounts";
import type { LoopDelays } from "./createLoopMonitor";

const LATENCY_BUCKETS_MS = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000];

/** What the metrics show of the news between nodes. */
export interface NewsState {
    readonly isRelay: boolean;
    /** Live nodes, and those that this node hears of. */
    readonly nodes: number;
    readonly reachable: number;
}

/** What the limits of a listener have done, and the bytes that count against them. */
export interface ListenerLimits {
    readonly actions: Readonly<Record<string, number>>;
    readonly readAheadBytes: number;
    readonly unreadBytes: number;
}

/** The metrics of a gateway. */
export interface GatewayMetrics {
    countRequest(service: string, outcome: string): void;
    countAttempt(service: string, end: string): void;
    /** Counts an attempt by the distance of its endpoint. */
    countAttemptDistance(service: string, distance: string): void;
    /** Sets which share of a service's requests goes to other failure domains. */
    setSpilloverShare(service: string, share: number): void;
    /** Counts an attempt at an endpoint of a service that an order names, by the endpoint's version. */
    countVersionAttempt(service: string, version: string, end: string): void;
    /** Sets the phase of a service's move to another version. */
    setRolloutPhase(service: string, phase: RolloutPhase): void;
    /** Counts an attempt whose connection the endpoint ended. */
    countConnectionEnd(service: string, connection: string, hasAnswerBegun: boolean): void;
    /** Counts an attempt that was not made because of a prompt part that crashes endpoints. */
    countPromptRefusal(verdict: string): void;
    /** Counts a request that is refused because its place or state bars each endpoint, by the reason. */
    countPlacementRefusal(service: string, reason: string): void;
    /** Counts a decision about a request whose service has nearly full endpoints. */
    countAdmission(service: string, decision: string): void;
    /** Records how long a request waited for room at the endpoints before it started. */
    recordAdmissionWait(service: string, milliseconds: number): void;
    /** Sets the waiting requests of a service. */
    setAdmissionQueue(service: string, queue: { readonly waiting: number; readonly waitingBytes: number }): void;
    /** Counts an attempt at a cold endpoint of a service that states a rate for them. */
    countColdAttempt(service: string): void;
    /** Sets whether a failure domain is evacuated. */
    setEvacuated(failureDomain: string, isEvacuated: boolean): void;
    /** Sets how many prompt parts are suspected and quarantined. */
    setPromptParts(parts: { readonly suspected: number; readonly quarantined: number }): void;
    /** Records the time from receiving a request to the first part of its answer. */
    recordFirstPart(service: string, milliseconds: number): void;
    /** Records the time that the gateway spends on a request before it is first sent to an endpoint. */
    recordOverhead(milliseconds: number): void;
    setConfigurationVersion(version: number): void;
    /** Counts a version of the configuration that can't be read, or its removal; the version in force stays. */
    countUnreadableConfiguration(): void;
    /** Counts an error that no part of the process has handled, by its origin. */
    countUnhandledError(origin: string): void;
    /** Counts an error inside the node that its owner has handled. */
    countFailure(owner: string): void;
    /** Counts a call to the platform's store. */
    countStoreCall(call: string, outcome: string): void;
    /** Sets where the news of this node stands: whether it is a relay, and the age of its view of the fleet. */
    setNewsState(state: NewsState): void;
    /** Sets the numbers of the callers' connections and requests. */
    setCallers(counts: CallerCounts): void;
    /** Sets what was done to keep the callers' connections within their limit. */
    setLimitActions(actions: Readonly<Record<LimitAction, number>>): void;
    /** Sets what a listener's limits have done about requests sent ahead and unread responses. */
    setListenerLimits(listener: string, limits: ListenerLimits): void;
    /** Sets the bytes held by bodies. */
    setBodyMemory(memory: BodyMemory): void;
    /** Sets the delays of the event loop. */
    setLoopDelays(delays: LoopDelays): void;
    /** Formats all metrics in the Prometheus text format. */
    formatMetrics(): Promise<string>;
}

/**
 * Creates the metrics, with all values at zero.
 *
 * @returns The metrics
 * @example
 * metrics.countRequest("assistant", "relayed");
 */
export function createGatewayMetrics(): GatewayMetrics {
    const registry = new Registry();
    const registers = [registry];
    const requests = new Counter({
        name: "redwinglift_requests_total",
        help: "Requests of callers by how they ended.",
        labelNames: ["service", "outcome"],
        registers,
    });
    const attempts = new Counter({
        name: "redwinglift_attempts_total",
        help: "Attempts at endpoints by how they ended.",
        labelNames: ["service", "end"],
        registers,
    });
    const distances = new Counter({
        name: "redwinglift_attempt_distances_total",
        help: "Attempts by whether the endpoint is in the same failure domain, the same region or another region.",
        labelNames: ["service", "distance"],
        registers,
    });
    const spilloverShare = new Gauge({
        name: "redwinglift_spillover_share",
        help: "Share of the requests that leave the failure domain, averaged over about a second.",
        labelNames: ["service"],
        registers,
    });
    const versionAttempts = new Counter({
        name: "redwinglift_version_attempts_total",
        help: "Attempts at endpoints of services with an ordered move, by version and how they ended.",
        labelNames: ["service", "version", "end"],
        registers,
    });
    const rolloutPhase = new Gauge({
        name: "redwinglift_rollout_phase",
        help: "Phase of a service's ordered move: 0 trial, 1 shifting, 2 rolled back, 3 completed.",
        labelNames: ["service"],
        registers,
    });
    const connectionEnds = new Counter({
        name: "redwinglift_connection_ends_total",
        help: "Attempts whose connection broke or was refused, by whether their answer had begun.",
        labelNames: ["service", "connection", "answer"],
        registers,
    });
    const promptRefusals = new Counter({
        name: "redwinglift_prompt_refusals_total",
        help: "Attempts that were not made because a prompt part is held back or quarantined.",
        labelNames: ["verdict"],
        registers,
    });
    const placementRefusals = new Counter({
        name: "redwinglift_placement_refusals_total",
        help: "Requests refused because each endpoint is left out by its place, by reason.",
        labelNames: ["service", "reason"],
        registers,
    });
    const admissions = new Counter({
        name: "redwinglift_admission_decisions_total",
        help: "Decisions about requests of services whose endpoints were nearly full.",
        labelNames: ["service", "decision"],
        registers,
    });
    const admissionWait = new Histogram({
        name: "redwinglift_admission_wait_milliseconds",
        help: "Time for which requests waited for room at the endpoints before they started.",
        labelNames: ["service"],
        buckets: LATENCY_BUCKETS_MS,
        registers,
    });
    const admissionQueue = new Gauge({
        name: "redwinglift_admission_waiting",
        help: "Requests that wait for room at the endpoints, and the bytes that they hold.",
        labelNames: ["service", "of"],
        registers,
    });
    const coldAttempts = new Counter({
        name: "redwinglift_cold_attempts_total",
        help: "Attempts at cold endpoints of services that state a rate for them.",
        labelNames: ["service"],
        registers,
    });
    const evacuated = new Gauge({
        name: "redwinglift_evacuated",
        help: "1 while a failure domain is evacuated, 0 after that.",
        labelNames: ["failure_domain"],
        registers,
    });
    const promptParts = new Gauge({
        name: "redwinglift_prompt_parts",
        help: "Prompt parts that are suspected, and those in quarantine.",
        labelNames: ["state"],
        registers,
    });
    const firstPart = new Histogram({
        name: "redwinglift_first_part_milliseconds",
        help: "Time from a request's head to the first part of its answer.",
        labelNames: ["service"],
        buckets: LATENCY_BUCKETS_MS,
        registers,
    });
    const overhead = new Histogram({
        name: "redwinglift_own_milliseconds",
        help: "Time from a request's head to its first send.",
        buckets: LATENCY_BUCKETS_MS,
        registers,
    });
    const version = new Gauge({
        name: "redwinglift_configuration_version",
        help: "Version of the configuration in force.",
        registers,
    });
    const unreadableConfigurations = new Counter({
        name: "redwinglift_configuration_unreadable_total",
        help: "Versions of the configuration that could not be read, and its removals.",
        registers,
    });
    const unhandledErrors = new Counter({
        name: "redwinglift_unhandled_errors_total",
        help: "Errors that no part of the process has handled, by origin: a rejected promise or an exception.",
        labelNames: ["origin"],
        registers,
    });
    const failures = new Counter({
        name: "redwinglift_internal_failures_total",
        help: "Errors inside the node that their owner has handled, by owner.",
        labelNames: ["owner"],
        registers,
    });
    const storeCalls = new Counter({
        name: "redwinglift_store_calls_total",
        help: "Calls to the platform's store by kind and outcome.",
        labelNames: ["call", "outcome"],
        registers,
    });
    const relay = new Gauge({ name: "redwinglift_relay", help: "1 while this node is a relay.", registers });
    const nodes = new Gauge({
        name: "redwinglift_nodes",
        help: "Live nodes, and those whose reports reach this node.",
        labelNames: ["state"],
        registers,
    });
    const connections = new Gauge({
        name: "redwinglift_caller_connections",
        help: "Open connections of callers: idle, with bytes of an unfinished head, or with a request.",
        labelNames: ["state"],
        registers,
    });
    const limitActions = new Gauge({
        name: "redwinglift_connection_limit_actions",
        help: "What was done since the start to keep callers' connections within their limit.",
        labelNames: ["action"],
        registers,
    });
    const openRequests = new Gauge({
        name: "redwinglift_open_requests",
        help: "Requests without a final answer by phase.",
        labelNames: ["phase"],
        registers,
    });
    const endedRequests = new Gauge({
        name: "redwinglift_ended_requests",
        help: "Requests since the start by how they ended for their caller.",
        labelNames: ["end"],
        registers,
    });
    const listenerActions = new Gauge({
        name: "redwinglift_listener_limit_actions",
        help: "What was done since the start because of a listener's limits.",
        labelNames: ["listener", "action"],
        registers,
    });
    const listenerBytes = new Gauge({
        name: "redwinglift_listener_held_bytes",
        help: "Bytes read ahead on connections whose reading has stopped, and of whole responses that are not read.",
        labelNames: ["listener", "of"],
        registers,
    });
    const bodyBytes = new Gauge({
        name: "redwinglift_body_bytes",
        help: "Bytes held by the bodies of all requests, and of all answers.",
        labelNames: ["of"],
        registers,
    });
    const loopDelay = new Gauge({
        name: "redwinglift_loop_delay_milliseconds",
        help: "Longest standstill of the event loop since the last reading.",
        registers,
    });
    return {
        countRequest: (service, outcome) => requests.inc({ service, outcome }),
        countAttempt: (service, end) => attempts.inc({ service, end }),
        countAttemptDistance: (service, distance) => distances.inc({ service, distance }),
        setSpilloverShare: (service, share) => spilloverShare.set({ service }, share),
        countVersionAttempt: (service, version, end) => versionAttempts.inc({ service, version, end }),
        setRolloutPhase: (service, phase) => rolloutPhase.set({ service }, phase),
        countConnectionEnd: (service, connection, hasAnswerBegun) =>
            connectionEnds.inc({ service, connection, answer: hasAnswerBegun ? "begun" : "waiting" }),
        countPromptRefusal: verdict => promptRefusals.inc({ verdict }),
        countPlacementRefusal: (service, reason) => placementRefusals.inc({ service, reason }),
        countAdmission: (service, decision) => admissions.inc({ service, decision }),
        recordAdmissionWait: (service, milliseconds) => admissionWait.observe({ service }, milliseconds),
        setAdmissionQueue: (service, { waiting, waitingBytes }) => {
            admissionQueue.set({ service, of: "requests" }, waiting);
            admissionQueue.set({ service, of: "bytes" }, waitingBytes);
        },
        countColdAttempt: service => coldAttempts.inc({ service }),
        setEvacuated: (domain, isEvacuated) => evacuated.set({ failure_domain: domain }, isEvacuated ? 1 : 0),
        setPromptParts: ({ suspected, quarantined }) => {
            promptParts.set({ state: "suspected" }, suspected);
            promptParts.set({ state: "quarantined" }, quarantined);
        },
        recordFirstPart: (service, milliseconds) => firstPart.observe({ service }, milliseconds),
        recordOverhead: milliseconds => overhead.observe(milliseconds),
        setConfigurationVersion: value => version.set(value),
        countUnreadableConfiguration: () => unreadableConfigurations.inc(),
        countUnhandledError: origin => unhandledErrors.inc({ origin }),
        countFailure: owner => failures.inc({ owner }),
        countStoreCall: (call, outcome) => storeCalls.inc({ call, outcome }),
        setNewsState: state => {
            relay.set(state.isRelay ? 1 : 0);
            nodes.set({ state: "live" }, state.nodes);
            nodes.set({ state: "reachable" }, state.reachable);
        },
        setCallers: ({ connections: open, idle, unfinished, phases, ends }) => {
            connections.set({ state: "idle" }, idle);
            connections.set({ state: "unfinished" }, unfinished);
            connections.set({ state: "busy" }, open - idle - unfinished);
            Object.entries(phases).forEach(([phase, count]) => openRequests.set({ phase }, count));
            Object.entries(ends).forEach(([end, count]) => endedRequests.set({ end }, count));
        },
        setLimitActions: actions =>
            Object.entries(actions).forEach(([action, count]) => limitActions.set({ action }, count)),
        setListenerLimits: (listener, { actions, readAheadBytes, unreadBytes }) => {
            Object.entries(actions).forEach(([action, count]) => listenerActions.set({ listener, action }, count));
            listenerBytes.set({ listener, of: "read_ahead" }, readAheadBytes);
            listenerBytes.set({ listener, of: "unread" }, unreadBytes);
        },
        setBodyMemory: ({ requests: ofRequests, answers }) => {
            bodyBytes.set({ of: "requests" }, ofRequests.countBytes());
            bodyBytes.set({ of: "answers" }, answers.countBytes());
        },
        setLoopDelays: ({ longestMs }) => loopDelay.set(longestMs),
        formatMetrics: () => registry.metrics(),
    };
}
