/**
 * @module Speeds and limits of moves between the runners of a service, from routing's capacity data.
 */
import type { ReclaimTerms } from "../../decisions/outcomes/reclaim/reclaimMove";
import type { ServiceCapacity } from "../../decisions/routing/serviceCapacity";
import { DEFAULT_RECLAIM_TERMS } from "./constants";

const MS_PER_SECOND = 1_000;

/**
 * Builds the terms of moves. A value that routing does not know keeps its default.
 *
 * @param capacity - Capacity of the service that this node can use, without leaving runners
 * @param liveNodes - Nodes believed alive; at most the default `sharingNodes` are taken to use the same endpoints
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
