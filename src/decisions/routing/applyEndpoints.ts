/**
 * @module Applying the VM directory to the routing state.
 */
import { hashText } from "../../base/hashText";
import { type Endpoint, type VmRecord, VmRole, VmState } from "../../model/endpoint";
import { hashPair } from "./_lib/hashPair";
import type { Candidate } from "./candidate";
import { createCandidate } from "./createCandidate";
import { createOutcomeRecord } from "./createOutcomeRecord";
import { createPrefixIndex } from "./createPrefixIndex";
import { dropEndpointPrefixes } from "./dropEndpointPrefixes";
import { hashName } from "./hashName";
import type { RoutingState, ServiceState } from "./routingState";
import { selectSubset } from "./selectSubset";

/**
 * Applies the VMs of the directory: new endpoints become candidates; endpoints that are leaving or gone get no further
 * requests.
 *
 * @param state - The state; changed in place
 * @param vms - All VMs, including nodes and VMs that are leaving
 * @example
 * applyEndpoints(state, directory.listVms());
 */
export function applyEndpoints(state: RoutingState, vms: readonly VmRecord[]): void {
    const known = new Set<string>();
    const live = new Map<string, Candidate[]>();
    for (const vm of vms) {
        const endpoint = convertToEndpoint(vm);
        if (endpoint === undefined) {
            continue;
        }
        known.add(endpoint.endpointId);
        const candidate = updateCandidate(state, endpoint, vm);
        if (vm.state === VmState.Live) {
            const sameService = live.get(endpoint.serviceName) ?? [];
            sameService.push(candidate);
            live.set(endpoint.serviceName, sameService);
        }
    }
    for (const [endpointId, candidate] of state.candidates) {
        if (!known.has(endpointId)) {
            candidate.isLeaving = true;
            state.candidates.delete(endpointId);
        }
    }
    const names = new Set([...live.keys(), ...state.services.keys()]);
    for (const name of names) {
        updateService(state, name, live.get(name) ?? []);
    }
    state.vms = vms;
    state.leavingIds = new Set(vms.filter(vm => vm.state === VmState.Leaving).map(vm => vm.vmId));
}

function convertToEndpoint(vm: VmRecord): Endpoint | undefined {
    if (vm.role === VmRole.Node || vm.serviceName === undefined) {
        return undefined;
    }
    const { vmId, role, address, port, region, failureDomain, serviceName, machineClass, isReclaimable } = vm;
    const version = vm.version ?? "";
    const place = { region, failureDomain, machineClass, isReclaimable };
    return { endpointId: vmId, role, address, port, serviceName, version, ...place };
}

function updateCandidate(state: RoutingState, endpoint: Endpoint, vm: VmRecord): Candidate {
    const known = state.candidates.get(endpoint.endpointId);
    if (known !== undefined && known.incarnation >= vm.incarnation) {
        if (known.endpoint.version !== endpoint.version) {
            Object.assign(known.outcomes, createOutcomeRecord());
            known.routes.clear();
            known.removedRoutes = 0;
            clearPrefixes(state, known);
        }
        known.endpoint = endpoint;
        known.isLeaving = vm.state === VmState.Leaving;
        return known;
    }
    if (known !== undefined) {
        known.isLeaving = true;
        clearPrefixes(state, known);
    }
    const candidate = createCandidate(endpoint, vm.incarnation, state.placement);
    candidate.isLeaving = vm.state === VmState.Leaving;
    state.candidates.set(endpoint.endpointId, candidate);
    return candidate;
}

function clearPrefixes(state: RoutingState, candidate: Candidate): void {
    const service = state.services.get(candidate.endpoint.serviceName);
    if (service !== undefined) {
        dropEndpointPrefixes(service.index, candidate);
    }
}

function updateService(state: RoutingState, name: string, live: readonly Candidate[]): void {
    const service = state.services.get(name) ?? createService(name);
    state.services.set(name, service);
    const subset = selectSubset(
        live.map(candidate => candidate.endpoint),
        state.nodeId,
        state.placement,
    );
    const nodeHash = hashText(state.nodeId);
    const candidates = live.filter(candidate => subset.has(candidate.endpoint.endpointId));
    candidates.sort((left, right) => hashPair(left.hash, nodeHash) - hashPair(right.hash, nodeHash));
    service.candidates
        .filter(candidate => !candidates.includes(candidate))
        .forEach(candidate => dropEndpointPrefixes(service.index, candidate));
    service.candidates = candidates;
    service.liveEndpoints = live.length;
    service.liveByDomain = countByDomain(live);
}

function createService(name: string): ServiceState {
    return {
        name,
        serviceHash: hashName(name),
        candidates: [],
        index: createPrefixIndex(),
        inFlight: 0,
        liveEndpoints: 0,
        liveByDomain: new Map(),
        estimateErrorMs: 0,
        demandTokensPerSecond: 0,
        demandUpdatedAtMs: 0,
        demandShare: 1,
    };
}

function countByDomain(live: readonly Candidate[]): ReadonlyMap<number, number> {
    const counts = new Map<number, number>();
    for (const { endpoint } of live) {
        const domainHash = hashName(endpoint.failureDomain);
        counts.set(domainHash, (counts.get(domainHash) ?? 0) + 1);
    }
    return counts;
}
