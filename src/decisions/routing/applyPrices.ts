/**
 * @module Taking in prices.
 */
import type { VmPrice } from "../../ports/cloud";
import type { RoutingState } from "./routingState";

/**
 * Takes in the prices of VMs. An endpoint whose price isn't listed keeps the one it had.
 *
 * @param state - The state; changed in place
 * @param prices - The platform's prices
 * @example
 * applyPrices(state, prices);
 */
export function applyPrices(state: RoutingState, prices: readonly VmPrice[]): void {
    const byKind = new Map(prices.map(price => [buildKey(price), price.microsPerHour]));
    for (const candidate of state.candidates.values()) {
        candidate.microsPerHour = byKind.get(buildKey(candidate.endpoint)) ?? candidate.microsPerHour;
    }
}

function buildKey(kind: {
    readonly failureDomain: string;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
}): string {
    return `${kind.failureDomain}/${kind.machineClass}/${kind.isReclaimable ? "reclaimable" : "on_demand"}`;
}
