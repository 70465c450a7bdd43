/**
 * @module Capacity pools, the units in which the planner counts VMs.
 */
import type { FleetOffer } from "../fleetPlan";

/** The VMs of an offer that exist already, or those that could still be started. */
export interface CapacityPool {
    readonly offer: FleetOffer;
    /** Units per second that one VM serves. */
    readonly unitsPerVm: number;
    /** Price that the planner compares: reduced for existing VMs, so that a small saving doesn't replace them. */
    readonly comparisonPrice: number;
    /** Maximum number of VMs. */
    readonly limit: number;
    /** Whether the VMs exist already. */
    readonly isHeld: boolean;
}

/** Number of VMs of each pool, in the order of the pools. */
export type VmCounts = number[];
