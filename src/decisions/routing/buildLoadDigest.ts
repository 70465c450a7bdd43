/**
 * @module The digest of this node's load for other nodes.
 */
import { hashName } from "./hashName";
import type { LoadDigest } from "./loadDigest";
import { readDemand } from "./readDemand";
import type { RoutingState } from "./routingState";

/**
 * Builds the digest of this node's load.
 *
 * @param state - The state
 * @param nowMs - Now, in monotonic milliseconds
 * @returns One entry for each service with requests in progress or a demand of at least one token a second
 * @example
 * encodeLoadDigest(buildLoadDigest(state, nowMs));
 */
export function buildLoadDigest(state: RoutingState, nowMs: number): LoadDigest {
    const digest = [...state.services.values()].map(service => {
        const inFlight = new Map<number, number>();
        for (const { endpoint, ownInFlight } of service.candidates) {
            const domainHash = hashName(endpoint.failureDomain);
            if (ownInFlight > 0) {
                inFlight.set(domainHash, (inFlight.get(domainHash) ?? 0) + ownInFlight);
            }
        }
        return {
            serviceHash: service.serviceHash,
            demandTokensPerSecond: readDemand(service, nowMs),
            inFlight,
        };
    });
    return digest.filter(service => service.inFlight.size > 0 || service.demandTokensPerSecond >= 1);
}
