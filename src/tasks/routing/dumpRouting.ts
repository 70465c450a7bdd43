/**
 * @module The routing part of a dump.
 */
import type { Candidate } from "../../decisions/routing/candidate";
import { estimateQueueDelay } from "../../decisions/routing/estimateQueueDelay";
import type { RoutingState, ServiceState } from "../../decisions/routing/routingState";
import { MAXIMUM_DUMPED_ENDPOINTS } from "./constants";

/** One endpoint in a dump; costs are in millionths of the currency unit. */
export interface EndpointDump {
    readonly endpoint: string;
    readonly failureDomain: string;
    readonly version: string;
    readonly ownInFlight: number;
    readonly othersInFlight: number;
    readonly slots: number;
    readonly queueMs: number;
    readonly biasMs: number;
    readonly reportAgeMs: number | undefined;
    readonly costMicros: number;
    readonly isRemoved: boolean;
    readonly removedRoutes: number;
}

/** One service in a dump. */
export interface ServiceDump {
    readonly liveEndpoints: number;
    readonly usedEndpoints: number;
    readonly demandShare: number;
    readonly estimateErrorMs: number;
    readonly endpoints: readonly EndpointDump[];
}

/**
 * Summarizes the routing state for a dump of bounded size.
 *
 * @param state - The routing state
 * @param nowMs - Now, in monotonic milliseconds
 * @returns Services by name, and counters
 * @example
 * dumpRouting(state, clock.readMonotonicMs());
 */
export function dumpRouting(state: RoutingState, nowMs: number): unknown {
    return {
        nodeCount: state.nodeCount,
        digests: state.digests.size,
        attempts: state.attempts.size,
        leaving: [...state.leavingIds],
        counters: state.counters,
        services: Object.fromEntries(
            [...state.services.values()].map(service => [service.name, dumpService(service, nowMs)]),
        ),
    };
}

function dumpService(service: ServiceState, nowMs: number): ServiceDump {
    return {
        liveEndpoints: service.liveEndpoints,
        usedEndpoints: service.candidates.length,
        demandShare: service.demandShare,
        estimateErrorMs: service.estimateErrorMs,
        endpoints: service.candidates
            .slice(0, MAXIMUM_DUMPED_ENDPOINTS)
            .map(candidate => dumpCandidate(candidate, nowMs)),
    };
}

function dumpCandidate(candidate: Candidate, nowMs: number): EndpointDump {
    return {
        endpoint: candidate.endpoint.endpointId,
        failureDomain: candidate.endpoint.failureDomain,
        version: candidate.endpoint.version,
        ownInFlight: candidate.ownInFlight,
        othersInFlight: candidate.othersInFlight,
        slots: candidate.slots,
        queueMs: estimateQueueDelay(candidate),
        biasMs: candidate.biasMs,
        reportAgeMs: candidate.sampledAtMs === undefined ? undefined : nowMs - candidate.sampledAtMs,
        costMicros: candidate.costMicros,
        isRemoved: candidate.outcomes.removedUntilMs !== -Infinity,
        removedRoutes: candidate.removedRoutes,
    };
}
