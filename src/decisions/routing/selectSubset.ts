/**
 * @module Selecting the endpoints of a large service that a node uses.
 */
import { hashText } from "../../base/hashText";
import type { Endpoint, Placement } from "../../model/endpoint";
import { hashPair } from "./_lib/hashPair";
import { SUBSET_LIMIT, SUBSET_OWN_REGION_SHARE, SUBSET_STRATUM_MINIMUM } from "./constants";

/**
 * Selects the endpoints of one service that a node uses. Rendezvous hashing of node and endpoint keeps the subset
 * stable when endpoints come and go. Two thirds of the subset lie in the node's own region, and it is spread evenly
 * over versions and failure domains, so that enough endpoints are left after the loss of any one failure domain.
 *
 * @param endpoints - All endpoints of the service
 * @param nodeId - Id of this node
 * @param placement - Region and failure domain of this node
 * @returns Ids of the selected endpoints; those of all endpoints if the service is small
 * @example
 * const subset = selectSubset(endpoints, "node-17", { region: "eu-west", failureDomain: "eu-west-1" });
 */
export function selectSubset(
    endpoints: readonly Endpoint[],
    nodeId: string,
    placement: Placement,
): ReadonlySet<string> {
    if (endpoints.length <= SUBSET_LIMIT) {
        return new Set(endpoints.map(endpoint => endpoint.endpointId));
    }
    const nodeHash = hashText(nodeId);
    const own = endpoints.filter(endpoint => endpoint.region === placement.region);
    const remote = endpoints.filter(endpoint => endpoint.region !== placement.region);
    const ownSize = remote.length === 0 ? SUBSET_LIMIT : Math.round(SUBSET_LIMIT * SUBSET_OWN_REGION_SHARE);
    const ownSelected = selectFromStrata(own, ownSize, nodeHash);
    const remoteSelected = selectFromStrata(remote, SUBSET_LIMIT - ownSelected.length, nodeHash);
    return new Set([...ownSelected, ...remoteSelected]);
}

function selectFromStrata(endpoints: readonly Endpoint[], size: number, nodeHash: number): readonly string[] {
    const strata = new Map<string, Endpoint[]>();
    for (const endpoint of endpoints) {
        const key = `${endpoint.version}/${endpoint.failureDomain}`;
        const stratum = strata.get(key) ?? [];
        stratum.push(endpoint);
        strata.set(key, stratum);
    }
    const quota = Math.max(SUBSET_STRATUM_MINIMUM, Math.ceil(size / Math.max(1, strata.size)));
    return [...strata.values()].flatMap(stratum => selectHighest(stratum, quota, nodeHash));
}

function selectHighest(stratum: readonly Endpoint[], quota: number, nodeHash: number): readonly string[] {
    const weighted = stratum.map(({ endpointId }) => ({
        endpointId,
        weight: hashPair(hashText(endpointId), nodeHash),
    }));
    weighted.sort((left, right) => right.weight - left.weight);
    return weighted.slice(0, quota).map(({ endpointId }) => endpointId);
}
