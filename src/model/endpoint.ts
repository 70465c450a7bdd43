/**
 * @module Endpoints: the model runners and application runners that do the work, and the VMs they stand on.
 */

/** What runs on a VM. */
export enum VmRole {
    /** One of this project's entry daemons. */
    Node = "node",
    ModelRunner = "model_runner",
    ApplicationRunner = "application_runner",
}

/** Whether a VM takes part in serving. */
export enum VmState {
    Live = "live",
    /** The VM has received a reclaim notice or is being stopped; it gets no new work. */
    Leaving = "leaving",
}

/** Where something stands. */
export interface Placement {
    readonly region: string;
    readonly failureDomain: string;
}

/** One VM as the platform lists it. The list may be seconds old. */
export interface VmRecord extends Placement {
    readonly vmId: string;
    readonly role: VmRole;
    /** IP number. */
    readonly address: string;
    /** Port of the HTTP face of an endpoint, or of the node link of a node. */
    readonly port: number;
    readonly state: VmState;
    /** Epoch milliseconds at which the VM will be gone; present while it is leaving by a reclaim notice. */
    readonly reclaimAtWallMs?: number;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
    /** The service an endpoint belongs to; absent for a node. */
    readonly serviceName?: string;
    /** The version an endpoint serves; absent for a node. */
    readonly version?: string;
    /** Changes when the same address is used by a new process. */
    readonly incarnation: number;
}

/** An endpoint that requests can be routed to. */
export interface Endpoint extends Placement {
    /** Equal to the id of the VM it stands on. */
    readonly endpointId: string;
    readonly role: VmRole.ModelRunner | VmRole.ApplicationRunner;
    readonly address: string;
    readonly port: number;
    readonly serviceName: string;
    readonly version: string;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
}

/** The load an endpoint reported about itself. */
export interface EndpointLoad {
    readonly endpointId: string;
    /** Requests being executed. */
    readonly running: number;
    /** Requests waiting inside the endpoint. */
    readonly waiting: number;
    /** Prompt tokens still to be prefilled. */
    readonly pendingPrefillTokens: number;
    /** Share of the KV cache in use, 0 to 1. */
    readonly cacheUse: number;
    /** Measured prefill speed in tokens a second. */
    readonly prefillTokensPerSecond: number;
    /** Measured time between tokens of one stream, in milliseconds. */
    readonly tokenGapMs: number;
    /** Milliseconds between the moment the endpoint sampled the load and the moment it answered. */
    readonly ageMs: number;
}
