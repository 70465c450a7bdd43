/**
 * @module Builds ids of offers and groups, which are the same on every node.
 */
import type { FleetGroupKey, FleetOffer } from "./fleetPlan";

/**
 * Builds the id of an offer.
 *
 * @param offer - Failure domain, machine class and whether the VM can be reclaimed
 * @returns `DOMAIN/CLASS/reclaimable` or `DOMAIN/CLASS/on-demand`
 * @example
 * buildOfferId(offer); //=> "hobart/gpu-a/reclaimable"
 */
export function buildOfferId(offer: Omit<FleetOffer, "microsPerHour" | "region">): string {
    return `${offer.failureDomain}/${offer.machineClass}/${offer.isReclaimable ? "reclaimable" : "on-demand"}`;
}

/**
 * Builds the id of a group.
 *
 * @param group - The properties that its VMs share
 * @returns `SERVICE/VERSION/` followed by the id of the offer
 * @example
 * buildGroupId(group); //=> "assistant/v2/hobart/gpu-a/reclaimable"
 */
export function buildGroupId(group: Omit<FleetGroupKey, "region">): string {
    return `${group.serviceName}/${group.version}/${buildOfferId(group)}`;
}
