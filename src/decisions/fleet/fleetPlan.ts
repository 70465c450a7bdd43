/**
 * @module What the fleet decisions read and what they declare.
 */
import type { VmRole } from "../../model/endpoint";

/** How fast a VM of a machine class serves a service, at one level of load. Capacities are declared by operators. */
export interface MachineCapacity {
    readonly serviceName: string;
    readonly machineClass: string;
    /** Tokens of cost a second (calls a second for application runners) at this level of load. */
    readonly unitsPerSecond: number;
    /** Time to the first token (to the whole answer of a call) that 95 in 100 requests meet at this load. */
    readonly latencyMs: number;
    /** Time between tokens at this load; 0 for application runners. */
    readonly tokenGapMs: number;
}

/** What a class of work asks of a service. */
export interface ClassTarget {
    readonly className: string;
    readonly latencyTargetMs: number;
    readonly tokenGapTargetMs: number;
    /** Highest cost per 1,000 units, in millionths of the currency. */
    readonly costCeilingMicros: number;
}

/** What one version of a service must carry. */
export interface ServiceDemand {
    readonly serviceName: string;
    readonly version: string;
    readonly role: VmRole.ModelRunner | VmRole.ApplicationRunner;
    /** Units a second to carry, also after the loss of any one failure domain. */
    readonly unitsPerSecond: number;
    /** Where the figure comes from, for operators. */
    readonly demandReason: string;
    /** The classes of work that use the service; all of its endpoints serve all of them. */
    readonly targets: readonly ClassTarget[];
}

/** A kind of VM in a place that the cloud offers at a price. */
export interface FleetOffer {
    readonly region: string;
    readonly failureDomain: string;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
    /** Millionths of the currency per hour. */
    readonly microsPerHour: number;
}

/** What VMs of a group have in common. */
export interface FleetGroupKey extends Omit<FleetOffer, "microsPerHour"> {
    readonly serviceName: string;
    readonly version: string;
}

/** VMs that are to exist, all alike. */
export interface DeclaredGroup extends FleetGroupKey {
    readonly role: VmRole.ModelRunner | VmRole.ApplicationRunner;
    readonly count: number;
    /** Units a second that one of them carries within the targets. */
    readonly unitsPerVm: number;
    /** Price of one of them. */
    readonly microsPerHour: number;
    /** Why these, and why so many. */
    readonly reason: string;
}

/** Why a plan falls short of what was asked. */
export enum PlanFinding {
    /** No offered machine class meets the latency targets under the cost ceiling. */
    NoOffer = "no_offer",
    /** Only one failure domain can be used, so its loss can't be covered. */
    NoSecondDomain = "no_second_domain",
    /** The offers that can be started now don't cover the demand after the loss of a domain. */
    NotCovered = "not_covered",
    /** The spare for the loss of a domain takes the cost per 1,000 units over the lowest ceiling. */
    SpareOverCeiling = "spare_over_ceiling",
}

/** The plan of one version of a service. */
export interface ServicePlan {
    readonly serviceName: string;
    readonly version: string;
    readonly unitsPerSecond: number;
    readonly demandReason: string;
    readonly microsPerHour: number;
    /** What the cheapest plan of on-demand VMs alone would cost an hour; absent where there is none. */
    readonly onDemandMicrosPerHour: number | undefined;
    /** Units a second left after the loss of the failure domain that carries most. */
    readonly unitsAfterLoss: number;
    readonly findings: readonly PlanFinding[];
    readonly groups: readonly DeclaredGroup[];
}

/** The state of the fleet that is declared, with the reason for each choice. */
export interface FleetPlan {
    readonly services: readonly ServicePlan[];
    readonly microsPerHour: number;
}

/** A group of VMs that exist or are being started. */
export interface ExistingGroup extends FleetGroupKey {
    readonly count: number;
}
