/**
 * @module The cheapest fleet that carries the demand, also after the loss of any one failure domain.
 */
import type { CapacityPoolFacts } from "./_lib/listCapacityPools";
import type { FleetPlan, ServiceDemand } from "./fleetPlan";
import { planService } from "./planService";

/** What a plan is made of besides demand. */
export type FleetFacts = CapacityPoolFacts;

/**
 * Plans the fleet: for each version of each service the cheapest set of reclaimable and on-demand VMs over failure
 * domains and machine classes that meets its targets and carries its demand after the loss of any one domain.
 *
 * VMs that exist are compared at a lower price, so that small price changes replace none. Offers that refuse starts are
 * used as far as VMs of them exist.
 *
 * @param demands - What each version of each service must carry
 * @param facts - Offers with prices, capacities, present VMs and offers that refuse starts
 * @returns The declared state, with a reason and a cost for each choice
 * @example
 * const plan = planFleet(demands, { offers, capacities, held, refusedOfferIds });
 */
export function planFleet(demands: readonly ServiceDemand[], facts: FleetFacts): FleetPlan {
    const services = demands.map(demand => planService(demand, facts));
    return { services, microsPerHour: services.reduce((sum, service) => sum + service.microsPerHour, 0) };
}
