/**
 * @module The state that a node keeps about one endpoint. Only the directory, the forwarder and the handler of
 * announced prompts change it.
 */
import type { Clock } from "../../base/clock";
import type { EndpointView } from "../../decisions/gateway/chooseEndpoint";
import { type EndpointPace, estimatePace, updatePace } from "../../decisions/gateway/endpointPace";
import { UNREACHABLE_AFTER_MS } from "../../decisions/relays/constants";
import type { EndpointActivity } from "../../decisions/relays/news";
import type { GatewayEndpoint } from "../../model/gateway";
import type { ReportedLoad, PromptPart } from "../../ports/forwardingCodec";
import {
    BIAS_HALF_LIFE_MS,
    BIAS_MAX_MS,
    BIAS_WEIGHT,
    CACHED_PART_TTL_MS,
    CACHED_PARTS_MAX,
    FAILURE_HALF_LIFE_MS,
    FAILURE_WEIGHT,
    SUSPECT_INITIAL_MS,
    SUSPECT_MAX_MS,
} from "../constants";
import { createEndpointConnections, type EndpointConnections } from "./createEndpointConnections";

/** Half-life of the reported load by other nodes, whose requests are assumed to end at this rate. */
const REPORTED_LOAD_HALF_LIFE_MS = 1_500;

/** Age up to which a load in an answer is newer than the sums of the other nodes. */
const OBSERVED_LOAD_MAX_AGE_MS = 250;

/** Connections that break within this time of each other are assumed to have one cause. */
const BREAKS_TOGETHER_MS = 250;

/** A value that decreases over time, as it was at `atMs`. */
interface DecayingValue {
    readonly value: number;
    readonly atMs: number;
}

/** An endpoint's state at this node. */
export interface EndpointRecord {
    readonly endpoint: GatewayEndpoint;
    readonly connections: EndpointConnections;
    /** Monotonic time at which this node first saw the endpoint. */
    readonly discoveredAtMs: number;
    /** Network round-trip time, and the added cost of the distance, both in milliseconds of expected time. */
    readonly roundTripMs: number;
    readonly distancePenaltyMs: number;
    /** Monotonic time until which the endpoint is slow after its start. */
    coldUntilMs: number;
    /** Monotonic time until which it counts as cold since it may have restarted, whatever its entry says; else 0. */
    presumedColdUntilMs: number;
    /**
     * Monotonic time at which a connection to it last broke or was refused, since when it may have restarted; infinitely long
     * ago if no connection broke since it last said how long it stays cold.
     */
    mayHaveRestartedAtMs: number;
    /** True once an answer has said how long it stays cold. */
    hasStatedColdTime: boolean;
    /** Monotonic time at which the entry disappeared after a store outage; absent while the entry exists. */
    missingSinceMs: number | undefined;
    /** True once a different endpoint has answered at this address. */
    isMisdirected: boolean;
    /** True once the endpoint has said in an answer that it leaves. */
    isLeaving: boolean;
    /** Monotonic time until which the endpoint wants no requests from this node. */
    refusedUntilMs: number;
    /** Requests of this node in progress at the endpoint. */
    ownInFlight: number;
    /** Uncached prompt tokens of this node's requests that have no first part of an answer yet. */
    pendingTokens: number;
    /** What the other nodes do there, by their last reports. */
    others: (EndpointActivity & { readonly atMs: number }) | undefined;
    /** The load that the endpoint last reported, with the state of this node at that time. */
    load: (ReportedLoad & { readonly atMs: number; readonly ownInFlight: number }) | undefined;
    /** What its reports say of its pace; `undefined` if it reports none. */
    pace: EndpointPace | undefined;
    /** Average time by which answers took longer than estimated, in milliseconds. */
    bias: DecayingValue;
    /** Average share of failed attempts. */
    failures: DecayingValue;
    /** Monotonic time until which the endpoint counts as unreachable, and the length of the next such period. */
    suspectUntilMs: number;
    suspectBackoffMs: number;
    /** Monotonic times of the last connections that broke under a request of this node, the newest last. */
    recentBreaks: readonly number[];
    /** Monotonic time of the last use of each prompt part, by the part's id; the least recently used comes first. */
    readonly cachedParts: Map<string, number>;
}

/** Creates the record of an endpoint about which nothing is known yet. */
export function createEndpointRecord(
    endpoint: GatewayEndpoint,
    distance: { readonly roundTripMs: number; readonly penaltyMs: number },
    clock: Clock,
): EndpointRecord {
    const record: EndpointRecord = {
        endpoint,
        connections: createEndpointConnections(clock, () => {
            record.mayHaveRestartedAtMs = clock.readMonotonicMs();
        }),
        discoveredAtMs: clock.readMonotonicMs(),
        roundTripMs: distance.roundTripMs,
        distancePenaltyMs: distance.penaltyMs,
        coldUntilMs: clock.readMonotonicMs() + endpoint.coldForMs,
        presumedColdUntilMs: 0,
        mayHaveRestartedAtMs: Number.NEGATIVE_INFINITY,
        hasStatedColdTime: false,
        missingSinceMs: undefined,
        isMisdirected: false,
        isLeaving: false,
        refusedUntilMs: 0,
        ownInFlight: 0,
        pendingTokens: 0,
        others: undefined,
        load: undefined,
        pace: undefined,
        bias: { value: 0, atMs: 0 },
        failures: { value: 0, atMs: 0 },
        suspectUntilMs: 0,
        suspectBackoffMs: SUSPECT_INITIAL_MS,
        recentBreaks: [],
        cachedParts: new Map(),
    };
    return record;
}

/** Builds the view of an endpoint by which a request with these prompt parts is placed. */
export function buildEndpointView(record: EndpointRecord, parts: readonly PromptPart[], nowMs: number): EndpointView {
    const { load } = record;
    const others = readOthers(record, nowMs);
    return {
        id: record.endpoint.id,
        roundTripMs: record.roundTripMs,
        distancePenaltyMs: record.distancePenaltyMs,
        slots: load?.slots ?? record.endpoint.slots,
        occupancy: record.ownInFlight + others.inFlight,
        pendingTokens: record.pendingTokens + others.pendingTokens,
        biasMs: computeDecayed(record.bias, BIAS_HALF_LIFE_MS, nowMs),
        coldMs: computeColdMs(record, nowMs),
        failureRate: readFailureRate(record, nowMs),
        cachedTokens: countCachedTokens(record, parts, nowMs),
        ...(record.pace === undefined
            ? {}
            : { pace: estimatePace(record.pace, nowMs), othersInFlight: others.inFlight }),
    };
}

/**
 * Estimates the requests in progress at an endpoint by the newest of what it and the other nodes have said: an answer to this
 * node says what all nodes did there a moment ago, while the sums of the other nodes are older than their arrival.
 */
export function estimateInFlight(record: EndpointRecord, nowMs: number): number {
    const { load, ownInFlight } = record;
    if (load === undefined || nowMs - load.atMs > OBSERVED_LOAD_MAX_AGE_MS) {
        return ownInFlight + readOthers(record, nowMs).inFlight;
    }
    const observed = Math.max(0, load.running + load.waiting - load.ownInFlight);
    return ownInFlight + observed;
}

/** Computes how long the endpoint is still slow after a start, or after what may have been one. */
export function computeColdMs({ coldUntilMs, presumedColdUntilMs }: EndpointRecord, nowMs: number): number {
    return Math.max(0, coldUntilMs - nowMs, presumedColdUntilMs - nowMs);
}

/** Records how long the endpoint itself says that it stays cold, which ends any presumption. */
export function recordColdTime(record: EndpointRecord, coldForMs: number, nowMs: number): void {
    record.coldUntilMs = nowMs + coldForMs;
    record.presumedColdUntilMs = 0;
    record.mayHaveRestartedAtMs = Number.NEGATIVE_INFINITY;
    record.hasStatedColdTime = true;
}

/** Records what the other nodes do at the endpoint. */
export function recordOthers(record: EndpointRecord, activity: EndpointActivity, nowMs: number): void {
    record.others = { ...activity, atMs: nowMs };
}

/**
 * Gives what the other nodes do at the endpoint: what they reported, or without recent reports, what is left of the
 * load that the endpoint itself reported.
 */
function readOthers({ others, load }: EndpointRecord, nowMs: number): EndpointActivity {
    if (others !== undefined && nowMs - others.atMs < UNREACHABLE_AFTER_MS) {
        return others;
    }
    const requests = load === undefined ? 0 : Math.max(0, load.running + load.waiting - load.ownInFlight);
    const share = load === undefined ? 0 : 0.5 ** ((nowMs - load.atMs) / REPORTED_LOAD_HALF_LIFE_MS);
    return { inFlight: requests * share, pendingTokens: 0 };
}

/** Updates the bias by the difference between the observed and the estimated answer time. */
export function recordAnswerTime(record: EndpointRecord, observedMs: number, estimatedMs: number, nowMs: number): void {
    const currentBiasMs = computeDecayed(record.bias, BIAS_HALF_LIFE_MS, nowMs);
    const clampedBiasMs = Math.min(BIAS_MAX_MS, Math.max(0, observedMs - estimatedMs + currentBiasMs));
    record.bias = { value: currentBiasMs + BIAS_WEIGHT * (clampedBiasMs - currentBiasMs), atMs: nowMs };
}

/** Updates the failure share by an attempt; a success also resets the backoff for an unreachable endpoint. */
export function recordAttemptOutcome(record: EndpointRecord, hasFailed: boolean, nowMs: number): void {
    const currentShare = computeDecayed(record.failures, FAILURE_HALF_LIFE_MS, nowMs);
    record.failures = { value: currentShare + FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - currentShare), atMs: nowMs };
    if (!hasFailed) {
        record.suspectBackoffMs = SUSPECT_INITIAL_MS;
    }
}

/** Gives the share of its recent attempts that failed. */
export function readFailureRate({ failures }: EndpointRecord, nowMs: number): number {
    return computeDecayed(failures, FAILURE_HALF_LIFE_MS, nowMs);
}

/** Marks the endpoint as unreachable for a time that doubles with each failure. */
export function recordUnreachable(record: EndpointRecord, nowMs: number): void {
    if (nowMs >= record.suspectUntilMs) {
        record.suspectUntilMs = nowMs + record.suspectBackoffMs;
        record.suspectBackoffMs = Math.min(SUSPECT_MAX_MS, record.suspectBackoffMs * 2);
    }
}

/** Records that a connection broke; gives how many did so within `BREAKS_TOGETHER_MS`, this one included. */
export function recordConnectionBreak(record: EndpointRecord, nowMs: number): number {
    const recent = record.recentBreaks.filter(atMs => nowMs - atMs < BREAKS_TOGETHER_MS);
    record.recentBreaks = [...recent, nowMs];
    return record.recentBreaks.length;
}

/** Records the load that the endpoint reported. */
export function recordLoad(record: EndpointRecord, load: ReportedLoad, nowMs: number): void {
    record.load = { ...load, atMs: nowMs, ownInFlight: record.ownInFlight };
    // The answer was sent half a round trip ago.
    record.pace =
        load.pace === undefined ? undefined : updatePace(record.pace, load.pace, nowMs - record.roundTripMs / 2);
}

/**
 * Gives the pace that the endpoint has reported since a request was sent there, by which the time to its answer is
 * explained. The bias and the measured speed of the service then hold only what the pace doesn't explain.
 */
export function readPaceSince(record: EndpointRecord, sentAtMs: number): number | undefined {
    return record.pace !== undefined && record.pace.atMs >= sentAtMs ? record.pace.reported : undefined;
}

/** Records that the endpoint processes these prompt parts, and removes the least recently used above the maximum. */
export function recordCachedParts(record: EndpointRecord, parts: readonly PromptPart[], nowMs: number): void {
    for (const { id } of parts) {
        record.cachedParts.delete(id);
        record.cachedParts.set(id, nowMs);
    }
    while (record.cachedParts.size > CACHED_PARTS_MAX) {
        record.cachedParts.delete(record.cachedParts.keys().next().value ?? "");
    }
}

/**
 * Counts the prompt tokens that are assumed to be cached: the parts from the beginning up to the first uncached one.
 */
function countCachedTokens(record: EndpointRecord, parts: readonly PromptPart[], nowMs: number): number {
    let tokens = 0;
    for (const part of parts) {
        const lastUsedAtMs = record.cachedParts.get(part.id);
        if (lastUsedAtMs === undefined || nowMs - lastUsedAtMs > CACHED_PART_TTL_MS) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

/** Computes the current value of an exponentially decaying value. */
function computeDecayed({ value, atMs }: DecayingValue, halfLifeMs: number, nowMs: number): number {
    return value * 0.5 ** ((nowMs - atMs) / halfLifeMs);
}
