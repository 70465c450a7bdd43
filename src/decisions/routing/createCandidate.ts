/**
 * @module Creating candidates.
 */
import { hashText } from "../../base/hashText";
import { type Endpoint, type Placement, VmRole } from "../../model/endpoint";
import type { Candidate } from "./candidate";
import {
    HISTORY_STEPS,
    INITIAL_DURATION_MS,
    INITIAL_PREFILL_TOKENS_PER_MS,
    INITIAL_APPLICATION_DURATION_MS,
    INITIAL_SLOTS,
    INITIAL_TOKEN_GAP_MS,
    OTHER_REGION_LATENCY_MS,
    SAME_DOMAIN_LATENCY_MS,
    SAME_REGION_LATENCY_MS,
} from "./constants";
import { createOutcomeRecord } from "./createOutcomeRecord";

/**
 * Creates a candidate with initial estimates, before any report or attempt.
 *
 * @param endpoint - The endpoint
 * @param incarnation - Incarnation of the VM's process
 * @param nodePlacement - Region and failure domain of this node
 * @returns The candidate
 * @example
 * createCandidate(endpoint, vm.incarnation, { region: "hobart", failureDomain: "hobart-a" });
 */
export function createCandidate(endpoint: Endpoint, incarnation: number, nodePlacement: Placement): Candidate {
    const isModelRunner = endpoint.role === VmRole.ModelRunner;
    return {
        endpoint,
        incarnation,
        hash: hashText(endpoint.endpointId),
        networkMs: 2 * computeOneWay(endpoint, nodePlacement),
        isRemote: endpoint.region !== nodePlacement.region,
        isLeaving: false,
        ownInFlight: 0,
        ownPrefillTokens: 0,
        history: {
            inFlight: new Float64Array(HISTORY_STEPS),
            prefillTokens: new Float64Array(HISTORY_STEPS),
        },
        sampledAtMs: undefined,
        sampledOthersInFlight: 0,
        sampledOwnInFlight: 0,
        sampledOthersPrefillTokens: 0,
        meanOthersInFlight: 0,
        meanOthersPrefillTokens: 0,
        othersInFlight: 0,
        othersPrefillTokens: 0,
        slots: INITIAL_SLOTS,
        hasBeenFull: false,
        prefillTokensPerMs: INITIAL_PREFILL_TOKENS_PER_MS,
        tokenGapMs: INITIAL_TOKEN_GAP_MS,
        durationMs: isModelRunner ? INITIAL_DURATION_MS : INITIAL_APPLICATION_DURATION_MS,
        biasMs: 0,
        microsPerHour: 0,
        costMicros: 0,
        outcomes: createOutcomeRecord(),
        routes: new Map(),
        removedRoutes: 0,
        cachedBlocksQuery: -1,
        cachedBlocks: 0,
        cacheSequence: -1,
    };
}

function computeOneWay(endpoint: Placement, node: Placement): number {
    if (endpoint.region !== node.region) {
        return OTHER_REGION_LATENCY_MS;
    }
    return endpoint.failureDomain === node.failureDomain ? SAME_DOMAIN_LATENCY_MS : SAME_REGION_LATENCY_MS;
}
