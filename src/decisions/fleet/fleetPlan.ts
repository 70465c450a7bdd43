/**
 * @module Inputs and results of fleet planning.
 */
import type { VmRole } from "../../model/endpoint";

/** Throughput and latency of a service on a machine class at one level of load, as declared by operators. */
export interface MachineCapacity {
    readonly serviceName: string;
    readonly machineClass: string;
    /** Throughput at this load: cost tokens per second, or calls per second for application runners. */
    readonly unitsPerSecond: number;
    /** 95th percentile of the time to the first token, or to the whole answer of a call, at this load. */
    readonly latencyMs: number;
    /** Time between tokens at this load; 0 for application runners. */
    readonly tokenGapMs: number;
}

/** Latency and cost targets of a request class for a service. */
export interface ClassTarget {
    readonly className: string;
    readonly latencyTargetMs: number;
    readonly tokenGapTargetMs: number;
    /** Maximum cost per 1,000 units, in millionths of the currency. */
    readonly costCeilingMicros: number;
}

/** Demand and targets of one version of a service. */
export interface ServiceDemand {
    readonly serviceName: string;
    readonly version: string;
    readonly role: VmRole.ModelRunner | VmRole.ApplicationRunner;
    /** Units per second to serve, including after the loss of any one failure domain. */
    readonly unitsPerSecond: number;
    /** Explains to operators where the demand figure comes from. */
    readonly demandReason: string;
    /** Targets of the request classes that use the service; each of its endpoints must meet all of them. */
    readonly targets: readonly ClassTarget[];
}

/** A machine class that the cloud offers in a failure domain, on demand or reclaimable, at a price. */
export interface FleetOffer {
    readonly region: string;
    readonly failureDomain: string;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
    /** Price of a VM in millionths of the currency per hour. */
    readonly microsPerHour: number;
}

/** The properties that all VMs of a group share. */
export interface FleetGroupKey extends Omit<FleetOffer, "microsPerHour"> {
    readonly serviceName: string;
    readonly version: string;
}

/** A group of identical VMs that should exist. */
export interface DeclaredGroup extends FleetGroupKey {
    readonly role: VmRole.ModelRunner | VmRole.ApplicationRunner;
    readonly count: number;
    /** Units per second that one VM serves within the targets. */
    readonly unitsPerVm: number;
    /** Price of one VM in millionths of the currency per hour. */
    readonly microsPerHour: number;
    /** Explains the choice of the group to operators. */
    readonly reason: string;
}

/** A requirement that a plan doesn't meet. */
export enum PlanFinding {
    /** No offered machine class meets the latency targets within the cost ceiling. */
    NoOffer = "no_offer",
    /** Only one failure domain is usable, so the demand can't be met after its loss. */
    NoSecondDomain = "no_second_domain",
    /** The offers that accept starts now don't cover the demand after the loss of a domain. */
    NotCovered = "not_covered",
    /** With the spare capacity for the loss of a domain, the cost per 1,000 units exceeds the lowest ceiling. */
    SpareOverCeiling = "spare_over_ceiling",
}

/** The plan of one version of a service. */
export interface ServicePlan {
    readonly serviceName: string;
    readonly version: string;
    readonly unitsPerSecond: number;
    readonly demandReason: string;
    readonly microsPerHour: number;
    /** Price of the cheapest plan with on-demand VMs only; absent if on-demand VMs can't cover the demand. */
    readonly onDemandMicrosPerHour: number | undefined;
    /** Units per second left after the loss of the failure domain with the most capacity. */
    readonly unitsAfterLoss: number;
    readonly findings: readonly PlanFinding[];
    readonly groups: readonly DeclaredGroup[];
}

/** The declared fleet, with the reason for each group. */
export interface FleetPlan {
    readonly services: readonly ServicePlan[];
    readonly microsPerHour: number;
}

/** A group of VMs that exist, are being started or are loading the group's version. */
export interface ExistingGroup extends FleetGroupKey {
    readonly count: number;
}
