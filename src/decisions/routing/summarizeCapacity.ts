/**
 * @module What a node can use of a service.
 */
import { VmRole } from "../../model/endpoint";
import type { Candidate } from "./candidate";
import { ENDPOINT_QUEUE_MS, ENDPOINT_WAITING, INITIAL_PREFILL_TOKENS_PER_MS, INITIAL_TOKEN_GAP_MS } from "./constants";
import { estimateQueue } from "./estimateQueue";
import { isOutcomeUsable } from "./isOutcomeUsable";
import type { ServiceCapacity } from "./serviceCapacity";

/** What the summary depends on besides the endpoints. */
export interface CapacityQuery {
    readonly costCeilingMicros: number;
    /** Whether a version gets work. */
    readonly isVersionUsed: (version: string) => boolean;
    /** This node's share of the demand for the endpoints, 0 to 1. */
    readonly demandShare: number;
    /** A number in [0, 1) by which a fraction of a slot is rounded; it differs between nodes. */
    readonly roundingFraction: number;
    readonly estimateErrorMs: number;
    /** Attempts of this node in progress at the service. */
    readonly ownInFlight: number;
}

/**
 * Summarises the endpoints of a service. This node takes its share by demand of the slots that were free when the
 * endpoints sampled their loads, since the other nodes see the same ones; what it has sent since then comes off its
 * share as a whole, and what it saw finish may be replaced. Endpoints with a long inner queue offer no slots.
 *
 * @param candidates - The endpoints of the service that this node uses
 * @param query - What is asked
 * @returns The capacity
 * @example
 * summarizeCapacity(candidates, query).freeSlots;
 */
export function summarizeCapacity(candidates: readonly Candidate[], query: CapacityQuery): ServiceCapacity {
    let liveEndpoints = 0;
    let free = 0;
    let ownChange = 0;
    let best: Candidate | undefined;
    let bestMs = Infinity;
    for (const candidate of candidates) {
        if (!isCounted(candidate, query)) {
            continue;
        }
        liveEndpoints++;
        const queueMs = estimateQueue(candidate);
        const open = candidate.slots + ENDPOINT_WAITING - candidate.sampledOwnInFlight - candidate.othersInFlight;
        free += queueMs <= ENDPOINT_QUEUE_MS ? open : Math.min(0, open);
        ownChange += candidate.ownInFlight - candidate.sampledOwnInFlight;
        const firstTokenMs = candidate.networkMs + queueMs + candidate.biasMs;
        if (firstTokenMs < bestMs) {
            bestMs = firstTokenMs;
            best = candidate;
        }
    }
    const serviceMs = best?.endpoint.role === VmRole.ApplicationRunner ? best.durationMs : 0;
    return {
        liveEndpoints,
        ownInFlight: query.ownInFlight,
        freeSlots: Math.floor(free * query.demandShare - ownChange + query.roundingFraction),
        bestFirstTokenMs: best === undefined ? 0 : bestMs + serviceMs,
        prefillTokensPerSecond: 1_000 * (best?.prefillTokensPerMs ?? INITIAL_PREFILL_TOKENS_PER_MS),
        tokenGapMs: best?.tokenGapMs ?? INITIAL_TOKEN_GAP_MS,
        estimateErrorMs: query.estimateErrorMs,
    };
}

function isCounted(candidate: Candidate, query: CapacityQuery): boolean {
    return (
        !candidate.isLeaving &&
        candidate.costMicros <= query.costCeilingMicros &&
        isOutcomeUsable(candidate.outcomes) &&
        query.isVersionUsed(candidate.endpoint.version)
    );
}
