/**
 * @module Offers as the planner counts them.
 */
import type { FleetOffer } from "../fleetPlan";

/** VMs of an offer that exist already, or that could be started. */
export interface CapacityPool {
    readonly offer: FleetOffer;
    /** Units a second of one VM. */
    readonly unitsPerVm: number;
    /** Price with which the planner compares: lower for VMs that exist, so that small savings replace nothing. */
    readonly comparisonPrice: number;
    /** Most VMs of it. */
    readonly limit: number;
    readonly isHeld: boolean;
}

/** How many VMs of each segment, in the order of the segments. */
export type VmCounts = number[];
