/**
 * @module Summarising the capacity of a service.
 */
import { VmRole } from "../../model/endpoint";
import type { Candidate } from "./candidate";
import {
    ENDPOINT_QUEUE_LIMIT_MS,
    ENDPOINT_WAITING_LIMIT,
    INITIAL_PREFILL_TOKENS_PER_MS,
    INITIAL_TOKEN_GAP_MS,
} from "./constants";
import { estimateQueueDelay } from "./estimateQueueDelay";
import { isAcceptingAttempts } from "./isAcceptingAttempts";
import type { ServiceCapacity } from "./serviceCapacity";

/** Inputs of the summary besides the endpoints. */
export interface CapacityQuery {
    /** Endpoints that cost more don't count. */
    readonly costCeilingMicros: number;
    /** Whether a version currently receives requests. */
    readonly isVersionUsed: (version: string) => boolean;
    /** Share of the endpoints' free slots that this node may take, 0 to 1. */
    readonly demandShare: number;
    /** Offset in [0, 1) for rounding a fraction of a slot up or down; it differs between nodes. */
    readonly roundingFraction: number;
    /** See `ServiceCapacity`. */
    readonly estimateErrorMs: number;
    /** Attempts of this node in progress at the service. */
    readonly ownInFlight: number;
}

/**
 * Summarises the capacity of a service. All nodes see the slots that were free when the endpoints sampled their loads,
 * so this node takes only its demand share of them. Requests that it has sent since the sample are subtracted from that
 * share in full, and requests that have finished since then are added. Endpoints with a long queue offer no free slots.
 *
 * @param candidates - The endpoints of the service that this node uses
 * @param query - Cost ceiling, versions, share and counts
 * @returns The capacity
 * @example
 * summarizeCapacity(candidates, query).freeSlots;
 */
export function summarizeCapacity(candidates: readonly Candidate[], query: CapacityQuery): ServiceCapacity {
    let liveEndpoints = 0;
    let freeSlots = 0;
    let ownChange = 0;
    let best: Candidate | undefined;
    let bestMs = Infinity;
    for (const candidate of candidates) {
        if (!isEligible(candidate, query)) {
            continue;
        }
        liveEndpoints++;
        const queueMs = estimateQueueDelay(candidate);
        const openSlots =
            candidate.slots + ENDPOINT_WAITING_LIMIT - candidate.sampledOwnInFlight - candidate.othersInFlight;
        freeSlots += queueMs <= ENDPOINT_QUEUE_LIMIT_MS ? openSlots : Math.min(0, openSlots);
        ownChange += candidate.ownInFlight - candidate.sampledOwnInFlight;
        const firstTokenMs = candidate.networkMs + queueMs + candidate.biasMs;
        if (firstTokenMs < bestMs) {
            bestMs = firstTokenMs;
            best = candidate;
        }
    }
    const callMs = best?.endpoint.role === VmRole.ApplicationRunner ? best.durationMs : 0;
    return {
        liveEndpoints,
        ownInFlight: query.ownInFlight,
        freeSlots: Math.floor(freeSlots * query.demandShare - ownChange + query.roundingFraction),
        bestFirstTokenMs: best === undefined ? 0 : bestMs + callMs,
        prefillTokensPerSecond: 1_000 * (best?.prefillTokensPerMs ?? INITIAL_PREFILL_TOKENS_PER_MS),
        tokenGapMs: best?.tokenGapMs ?? INITIAL_TOKEN_GAP_MS,
        estimateErrorMs: query.estimateErrorMs,
    };
}

function isEligible(candidate: Candidate, query: CapacityQuery): boolean {
    return (
        !candidate.isLeaving &&
        candidate.costMicros <= query.costCeilingMicros &&
        isAcceptingAttempts(candidate.outcomes) &&
        query.isVersionUsed(candidate.endpoint.version)
    );
}
