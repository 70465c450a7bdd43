/**
 * @module Names of offers and groups, the same on every node.
 */
import type { FleetGroupKey, FleetOffer } from "./fleetPlan";

/**
 * Builds the name of an offer.
 *
 * @param offer - Place, machine class and whether it can be reclaimed
 * @returns `DOMAIN/CLASS/reclaimable` or `DOMAIN/CLASS/on-demand`
 * @example
 * buildOfferId(offer); //=> "hobart/gpu-a/reclaimable"
 */
export function buildOfferId(offer: Omit<FleetOffer, "microsPerHour" | "region">): string {
    return `${offer.failureDomain}/${offer.machineClass}/${offer.isReclaimable ? "reclaimable" : "on-demand"}`;
}

/**
 * Builds the name of a group.
 *
 * @param group - What its VMs have in common
 * @returns `SERVICE/VERSION/` and the name of the offer
 * @example
 * buildGroupId(group); //=> "assistant/v2/hobart/gpu-a/reclaimable"
 */
export function buildGroupId(group: Omit<FleetGroupKey, "region">): string {
    return `${group.serviceName}/${group.version}/${buildOfferId(group)}`;
}
