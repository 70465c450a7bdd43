/**
 * @module Explains to operators why a plan contains a group of VMs.
 */
import { buildOfferId } from "../buildGroupId";
import type { FleetOffer } from "../fleetPlan";
import { computeCostPerThousand } from "./listCapacityPools";
import type { CapacityPool } from "./capacityPool";

/** The group to explain, and the alternatives. */
export interface PlannedGroupFacts {
    readonly offer: FleetOffer;
    /** Units per second that one VM serves. */
    readonly unitsPerVm: number;
    /** Number of VMs in the group. */
    readonly count: number;
    /** How many of them exist already. */
    readonly held: number;
    /** All pools that the plan could use. */
    readonly pools: readonly CapacityPool[];
    /** Number of usable failure domains. */
    readonly domainCount: number;
}

/**
 * Explains a group of a plan.
 *
 * @param facts - The group and the pools that the plan could use
 * @returns One sentence
 * @example
 * explainGroup(facts); //=> "cheapest per unit in hobart, 9.8 micros per 1,000 units at full use; 4 of 6 exist; ..."
 */
export function explainGroup(facts: PlannedGroupFacts): string {
    const { offer, unitsPerVm, count, held, pools } = facts;
    const domainPools = pools.filter(pool => pool.offer.failureDomain === offer.failureDomain);
    const pricePerUnit = offer.microsPerHour / unitsPerVm;
    const lowestPricePerUnit = Math.min(...domainPools.map(pool => pool.offer.microsPerHour / pool.unitsPerVm));
    const cost = computeCostPerThousand(offer.microsPerHour, unitsPerVm).toFixed(1);
    const choice =
        pricePerUnit <= lowestPricePerUnit
            ? `cheapest per unit in ${offer.failureDomain}`
            : explainHigherPrice(held, offer);
    const spread =
        facts.domainCount > 1
            ? `spread over ${facts.domainCount} usable failure domains`
            : "no second failure domain is usable";
    return `${choice}, ${cost} micros per 1,000 units at full use; ${held} of ${count} exist; ${spread}`;
}

function explainHigherPrice(held: number, offer: FleetOffer): string {
    return held > 0
        ? `kept: a replacement would save too little`
        : `better fit for the remaining demand: ${buildOfferId(offer)}`;
}
