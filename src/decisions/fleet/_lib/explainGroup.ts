/**
 * @module Why a plan holds a group of VMs, in words for operators.
 */
import { buildOfferId } from "../buildGroupId";
import type { FleetOffer } from "../fleetPlan";
import { computeCostPerThousand } from "./listCapacityPools";
import type { CapacityPool } from "./capacityPool";

/** What there is to say of a group. */
export interface PlannedGroupFacts {
    readonly offer: FleetOffer;
    readonly unitsPerVm: number;
    readonly count: number;
    /** How many of them exist already. */
    readonly held: number;
    readonly pools: readonly CapacityPool[];
    /** Failure domains that could be used. */
    readonly domainCount: number;
}

/**
 * Explains a group of a plan.
 *
 * @param facts - The group and what else was on offer
 * @returns One sentence
 * @example
 * explainGroup(facts); //=> "cheapest per unit in hobart; 4 of 6 exist; ..."
 */
export function explainGroup(facts: PlannedGroupFacts): string {
    const { offer, unitsPerVm: units, count, held, pools: segments } = facts;
    const inDomain = segments.filter(segment => segment.offer.failureDomain === offer.failureDomain);
    const rate = offer.microsPerHour / units;
    const cheapest = Math.min(...inDomain.map(segment => segment.offer.microsPerHour / segment.unitsPerVm));
    const cost = computeCostPerThousand(offer.microsPerHour, units).toFixed(1);
    const choice = rate <= cheapest ? `cheapest per unit in ${offer.failureDomain}` : explainDearer(held, offer);
    const spread = facts.domainCount > 1 ? `spread over ${facts.domainCount} usable domains` : "no second domain";
    return `${choice}, ${cost} micros per 1,000 units at full use; ${held} of ${count} exist; ${spread}`;
}

function explainDearer(held: number, offer: FleetOffer): string {
    return held > 0 ? `kept: a replacement would save too little` : `fits the remainder better: ${buildOfferId(offer)}`;
}
