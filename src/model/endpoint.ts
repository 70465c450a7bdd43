/**
 * @module Endpoints, which are the model runners and application runners that execute requests, and their VMs.
 */

/** Which program runs on a VM. */
export enum VmRole {
    /** A node of this system, which accepts callers' requests and routes them to endpoints. */
    Node = "node",
    ModelRunner = "model_runner",
    ApplicationRunner = "application_runner",
}

/** Whether a VM may get new work. */
export enum VmState {
    Live = "live",
    /** The VM received a reclaim notice or is being stopped, and gets no new work. */
    Leaving = "leaving",
}

/** Where a VM or an endpoint runs. */
export interface Placement {
    readonly region: string;
    readonly failureDomain: string;
}

/** A VM as the platform lists it. The list may be outdated by some seconds. */
export interface VmRecord extends Placement {
    readonly vmId: string;
    readonly role: VmRole;
    /** IP address. */
    readonly address: string;
    /** Port of an endpoint's HTTP API, or of the service of a node for other nodes. */
    readonly port: number;
    readonly state: VmState;
    /** Epoch milliseconds at which the VM will be reclaimed; present only after a reclaim notice. */
    readonly reclaimAtWallMs?: number;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
    /** Service that an endpoint belongs to; absent for a node. */
    readonly serviceName?: string;
    /** Version that an endpoint serves; absent for a node. */
    readonly version?: string;
    /** Distinguishes successive processes that use the same address. */
    readonly incarnation: number;
}

/** An endpoint that requests can be routed to. */
export interface Endpoint extends Placement {
    /** Equal to the id of its VM. */
    readonly endpointId: string;
    readonly role: VmRole.ModelRunner | VmRole.ApplicationRunner;
    readonly address: string;
    readonly port: number;
    readonly serviceName: string;
    readonly version: string;
    readonly machineClass: string;
    readonly isReclaimable: boolean;
}

/** The load that an endpoint reported. */
export interface EndpointLoad {
    readonly endpointId: string;
    /** Requests being executed. */
    readonly running: number;
    /** Requests waiting in the endpoint's queue. */
    readonly waiting: number;
    /** Prompt tokens that are not prefilled yet. */
    readonly pendingPrefillTokens: number;
    /** Share of the KV cache in use, 0 to 1. */
    readonly cacheUse: number;
    /** Measured prefill speed, in tokens per second. */
    readonly prefillTokensPerSecond: number;
    /** Measured time between two tokens of a stream, in milliseconds. */
    readonly tokenGapMs: number;
    /** Time from the endpoint's sampling of the load to its response, in milliseconds. */
    readonly ageMs: number;
}
