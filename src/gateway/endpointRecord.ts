/**
 * @module What a node keeps about one endpoint. Only the directory and the forwarder change it.
 */
import type { Clock } from "../base/clock";
import type { EndpointView } from "../decisions/gateway/chooseEndpoint";
import type { GatewayEndpoint } from "../model/gateway";
import type { EndpointLoad, PromptPart } from "../ports/forwardingCodec";
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
} from "./constants";
import { createEndpointConnections, type EndpointConnections } from "./createEndpointConnections";

/** After this time half of the load that others were seen to cause is taken to be gone. */
const REPORTED_LOAD_HALF_LIFE_MS = 1_500;

interface DecayingValue {
    readonly value: number;
    readonly atMs: number;
}

/** An endpoint's state at this node. */
export interface EndpointRecord {
    readonly endpoint: GatewayEndpoint;
    readonly connections: EndpointConnections;
    /** Monotonic time at which this node learnt of it. */
    readonly discoveredAtMs: number;
    /** Time there and back, and the cost of the distance in milliseconds of expected time. */
    readonly roundTripMs: number;
    readonly distancePenaltyMs: number;
    /** Monotonic time at which the entry vanished while it may still come back. */
    missingSinceMs: number | undefined;
    /** True once another endpoint answered at its address. */
    isMisdirected: boolean;
    ownInFlight: number;
    pendingTokens: number;
    /** Prompt tokens that the peers sent there, as of a moment; the endpoint reads them since. */
    peerPendingTokens: DecayingValue;
    load: (EndpointLoad & { readonly atMs: number; readonly ownInFlight: number }) | undefined;
    bias: DecayingValue;
    failures: DecayingValue;
    suspectUntilMs: number;
    suspectBackoffMs: number;
    readonly cachedParts: Map<string, number>;
}

/** Creates the record of an endpoint that nothing is known of. */
export function createEndpointRecord(
    endpoint: GatewayEndpoint,
    distance: { readonly roundTripMs: number; readonly penaltyMs: number },
    clock: Clock,
): EndpointRecord {
    return {
        endpoint,
        connections: createEndpointConnections(clock),
        discoveredAtMs: clock.readMonotonicMs(),
        roundTripMs: distance.roundTripMs,
        distancePenaltyMs: distance.penaltyMs,
        missingSinceMs: undefined,
        isMisdirected: false,
        ownInFlight: 0,
        pendingTokens: 0,
        peerPendingTokens: { value: 0, atMs: 0 },
        load: undefined,
        bias: { value: 0, atMs: 0 },
        failures: { value: 0, atMs: 0 },
        suspectUntilMs: 0,
        suspectBackoffMs: SUSPECT_INITIAL_MS,
        cachedParts: new Map(),
    };
}

/** Gives the view of an endpoint for the placement of a request with these prompt parts. */
export function buildEndpointView(
    record: EndpointRecord,
    parts: readonly PromptPart[],
    tokensPerMs: number,
    nowMs: number,
): EndpointView {
    const { load } = record;
    const otherRequests = load === undefined ? 0 : Math.max(0, load.running + load.waiting - load.ownInFlight);
    const decayedOtherRequests =
        load === undefined ? 0 : otherRequests * 0.5 ** ((nowMs - load.atMs) / REPORTED_LOAD_HALF_LIFE_MS);
    return {
        id: record.endpoint.id,
        roundTripMs: record.roundTripMs,
        distancePenaltyMs: record.distancePenaltyMs,
        slots: load?.slots ?? record.endpoint.slots,
        occupancy: record.ownInFlight + decayedOtherRequests,
        pendingTokens: record.pendingTokens + computePendingPeerTokens(record.peerPendingTokens, tokensPerMs, nowMs),
        biasMs: computeDecayed(record.bias, BIAS_HALF_LIFE_MS, nowMs),
        failureShare: computeDecayed(record.failures, FAILURE_HALF_LIFE_MS, nowMs),
        cachedTokens: countCachedTokens(record, parts, nowMs),
    };
}

/** Notes a prompt that a peer sent to the endpoint. */
export function recordPeerPrompt(record: EndpointRecord, tokens: number, tokensPerMs: number, nowMs: number): void {
    const pendingTokens = computePendingPeerTokens(record.peerPendingTokens, tokensPerMs, nowMs);
    record.peerPendingTokens = { value: pendingTokens + tokens, atMs: nowMs };
}

/** Notes how an attempt compared with its estimate. */
export function recordAnswerTime(record: EndpointRecord, observedMs: number, estimatedMs: number, nowMs: number): void {
    const currentBiasMs = computeDecayed(record.bias, BIAS_HALF_LIFE_MS, nowMs);
    const clampedBiasMs = Math.min(BIAS_MAX_MS, Math.max(0, observedMs - estimatedMs + currentBiasMs));
    record.bias = { value: currentBiasMs + BIAS_WEIGHT * (clampedBiasMs - currentBiasMs), atMs: nowMs };
}

/** Notes whether an attempt failed through the endpoint's fault. */
export function recordAttemptOutcome(record: EndpointRecord, hasFailed: boolean, nowMs: number): void {
    const currentShare = computeDecayed(record.failures, FAILURE_HALF_LIFE_MS, nowMs);
    record.failures = { value: currentShare + FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - currentShare), atMs: nowMs };
    if (!hasFailed) {
        record.suspectBackoffMs = SUSPECT_INITIAL_MS;
    }
}

/** Keeps new work from an endpoint that can't be reached, for a growing time. */
export function recordUnreachable(record: EndpointRecord, nowMs: number): void {
    if (nowMs >= record.suspectUntilMs) {
        record.suspectUntilMs = nowMs + record.suspectBackoffMs;
        record.suspectBackoffMs = Math.min(SUSPECT_MAX_MS, record.suspectBackoffMs * 2);
    }
}

/** Notes the endpoint's word about its load. */
export function recordLoad(record: EndpointRecord, load: EndpointLoad, nowMs: number): void {
    record.load = { ...load, atMs: nowMs, ownInFlight: record.ownInFlight };
}

/** Notes that the endpoint reads these parts. */
export function recordCachedParts(record: EndpointRecord, parts: readonly PromptPart[], nowMs: number): void {
    for (const { id } of parts) {
        record.cachedParts.delete(id);
        record.cachedParts.set(id, nowMs);
    }
    while (record.cachedParts.size > CACHED_PARTS_MAX) {
        record.cachedParts.delete(record.cachedParts.keys().next().value ?? "");
    }
}

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

function computePendingPeerTokens({ value, atMs }: DecayingValue, tokensPerMs: number, nowMs: number): number {
    return Math.max(0, value - (nowMs - atMs) * tokensPerMs);
}

function computeDecayed({ value, atMs }: DecayingValue, halfLifeMs: number, nowMs: number): number {
    return value * 0.5 ** ((nowMs - atMs) / halfLifeMs);
}
