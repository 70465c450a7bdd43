/**
 * @module Applying VM prices.
 */
import type { VmPrice } from "../../ports/cloud";
import type { RoutingState } from "./routingState";

/**
 * Applies the prices of VMs. An endpoint whose price isn't listed keeps its last known price.
 *
 * @param state - The state; changed in place
 * @param prices - Prices from the platform
 * @example
 * applyPrices(state, prices);
 */
export function applyPrices(state: RoutingState, prices: readonly VmPrice[]): void {
    const microsByKind = new Map(prices.map(price => [buildKey(price), price.microsPerHour]));
    for (const candidate of state.candidates.values()) {
        candidate.microsPerHour = microsByKind.get(buildKey(candidate.endpoint)) ?? candidate.microsPerHour;
    }
}

function buildKey(kind: {
    readonly failureDomain: string;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
}): string {
    return `${kind.failureDomain}/${kind.machineClass}/${kind.isReclaimable ? "reclaimable" : "on_demand"}`;
}
