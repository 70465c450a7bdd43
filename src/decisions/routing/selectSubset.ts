/**
 * @module Which endpoints of a large service a node uses.
 */
import { hashText } from "../../base/hashText";
import type { Endpoint, Placement } from "../../model/endpoint";
import { hashPair } from "./_lib/hashPair";
import { SUBSET_LIMIT, SUBSET_OWN_REGION_SHARE, SUBSET_STRATUM_MINIMUM } from "./constants";

/**
 * Selects the endpoints of one service that a node uses, by rendezvous hashing of node and endpoint: when endpoints
 * come and go, few others change. The subset is spread evenly over the versions and failure domains of a region, two
 * thirds of it in the node's own region, so that with any one failure domain lost enough is left.
 *
 * @param endpoints - All endpoints of the service
 * @param nodeId - This node
 * @param placement - Where this node stands
 * @returns Ids of the selected endpoints; all of a small service
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
    const ownWanted = remote.length === 0 ? SUBSET_LIMIT : Math.round(SUBSET_LIMIT * SUBSET_OWN_REGION_SHARE);
    const ownSelected = selectFromStrata(own, ownWanted, nodeHash);
    const remoteSelected = selectFromStrata(remote, SUBSET_LIMIT - ownSelected.length, nodeHash);
    return new Set([...ownSelected, ...remoteSelected]);
}

function selectFromStrata(endpoints: readonly Endpoint[], wanted: number, nodeHash: number): readonly string[] {
    const strata = new Map<string, Endpoint[]>();
    for (const endpoint of endpoints) {
        const key = `${endpoint.version}/${endpoint.failureDomain}`;
        const stratum = strata.get(key) ?? [];
        stratum.push(endpoint);
        strata.set(key, stratum);
    }
    const quota = Math.max(SUBSET_STRATUM_MINIMUM, Math.ceil(wanted / Math.max(1, strata.size)));
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
