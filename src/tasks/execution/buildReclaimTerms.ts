/**
 * @module Speeds of the moves between the runners of a service, from what routing knows.
 */
import type { ReclaimTerms } from "../../decisions/outcomes/reclaim/reclaimMove";
import type { ServiceCapacity } from "../../decisions/routing/serviceCapacity";
import { DEFAULT_RECLAIM_TERMS } from "./constants";

const MS_PER_SECOND = 1_000;

/**
 * Builds the terms of moves. What routing does not know keeps its default.
 *
 * @param capacity - What this node can use of the service; leaving runners don't count
 * @param liveNodes - Nodes believed alive; no more than the default share endpoints
 * @returns The terms
 * @example
 * readReclaimTerms: serviceName => buildReclaimTerms(routing.readCapacity(serviceName, Infinity), nodes.length);
 */
export function buildReclaimTerms(
    capacity: Pick<ServiceCapacity, "liveEndpoints" | "prefillTokensPerSecond">,
    liveNodes: number,
): ReclaimTerms {
    const { prefillTokensPerMs, sharingNodes } = DEFAULT_RECLAIM_TERMS;
    const isSpeedKnown = capacity.prefillTokensPerSecond > 0;
    return {
        ...DEFAULT_RECLAIM_TERMS,
        survivors: Math.max(1, capacity.liveEndpoints),
        prefillTokensPerMs: isSpeedKnown ? capacity.prefillTokensPerSecond / MS_PER_SECOND : prefillTokensPerMs,
        sharingNodes: Math.max(1, Math.min(sharingNodes, liveNodes)),
    };
}
