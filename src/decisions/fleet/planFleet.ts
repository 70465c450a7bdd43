/**
 * @module Plans the cheapest fleet that meets the demand even after the loss of any one failure domain.
 */
import type { CapacityPoolFacts } from "./_lib/listCapacityPools";
import type { FleetPlan, ServiceDemand } from "./fleetPlan";
import { planService } from "./planService";

/** Inputs of a plan besides the demand. */
export type FleetFacts = CapacityPoolFacts;

/**
 * Plans the fleet: for each version of each service, the cheapest set of reclaimable and on-demand VMs across failure
 * domains and machine classes that meets the targets and serves the demand after the loss of any one domain.
 *
 * Existing VMs are compared at a reduced price, so that small price changes don't replace them. Of offers that refuse
 * starts, only existing VMs are used.
 *
 * @param demands - The demand for each version of each service
 * @param facts - Offers with prices, capacities, existing VMs and offers that refuse starts
 * @returns The declared fleet, with a reason and a price for each group
 * @example
 * const plan = planFleet(demands, { offers, capacities, held, refusedOfferIds });
 */
export function planFleet(demands: readonly ServiceDemand[], facts: FleetFacts): FleetPlan {
    const services = demands.map(demand => planService(demand, facts));
    return { services, microsPerHour: services.reduce((sum, service) => sum + service.microsPerHour, 0) };
}
