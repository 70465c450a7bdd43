/**
 * @module The capacity of a service as admission sees it.
 */
import { hashText } from "../../base/hashText";
import type { Configuration } from "../../model/configuration";
import { hashPair } from "./_lib/hashPair";
import { SLOT_ROUNDING_MS } from "./constants";
import { findVersionMove } from "./findVersionMove";
import type { RoutingState } from "./routingState";
import type { ServiceCapacity } from "./serviceCapacity";
import { summarizeCapacity } from "./summarizeCapacity";

/** Inputs of the capacity besides the state. */
export interface CapacityOptions {
    readonly configuration: Configuration;
    /** Whether this node has braked a version, that is, stopped sending it requests. */
    readonly isBraked: (serviceName: string, version: string) => boolean;
    /** Endpoints that cost more don't count. */
    readonly costCeilingMicros: number;
    /** Monotonic milliseconds. */
    readonly nowMs: number;
}

/**
 * Reads the capacity of a service that this node can currently use.
 *
 * @param state - The state
 * @param serviceName - The service
 * @param options - Configuration, brakes, cost ceiling and time
 * @returns The capacity, without endpoints for an unknown service
 * @example
 * readServiceCapacity(state, "news", options).freeSlots;
 */
export function readServiceCapacity(
    state: RoutingState,
    serviceName: string,
    options: CapacityOptions,
): ServiceCapacity {
    const { configuration, isBraked, costCeilingMicros, nowMs } = options;
    const service = state.services.get(serviceName);
    const definition = configuration.services[serviceName];
    const move = definition === undefined ? undefined : findVersionMove(configuration, definition);
    const used = move === undefined ? [definition?.version] : [move.fromVersion, move.toVersion];
    const roundingSeed = Math.floor(nowMs / SLOT_ROUNDING_MS) >>> 0;
    return summarizeCapacity(service?.candidates ?? [], {
        costCeilingMicros,
        isVersionUsed: version => used.includes(version) && !isBraked(serviceName, version),
        demandShare: service?.demandShare ?? 0,
        roundingFraction: hashPair(hashText(state.nodeId), roundingSeed) / 2 ** 32,
        estimateErrorMs: service?.estimateErrorMs ?? 0,
        ownInFlight: service?.inFlight ?? 0,
    });
}
