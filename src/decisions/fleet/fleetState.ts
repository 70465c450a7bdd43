/**
 * @module What is kept in the table about the fleet, so that any node can go on with it.
 */
import type { DeclaredGroup, FleetGroupKey } from "./fleetPlan";

/** A start that was ordered and whose VM the list has not shown yet. */
export interface PendingStart extends FleetGroupKey {
    readonly role: DeclaredGroup["role"];
    /** Derived from the group, the slot and the generation; giving it again starts no second VM. */
    readonly token: string;
    /** Place in the group, from 0 to below its count when it was ordered. */
    readonly slot: number;
    readonly orderedAtWallMs: number;
    /** When the order was given last. */
    readonly sentAtWallMs: number;
    /** Known once the cloud has answered. */
    readonly vmId?: string;
}

/** An order to load another version that has not shown its effect yet. */
export interface PendingLoad {
    readonly vmId: string;
    /** A new process on the VM makes the order void. */
    readonly incarnation: number;
    readonly serviceName: string;
    readonly version: string;
    readonly token: string;
    readonly orderedAtWallMs: number;
    readonly sentAtWallMs: number;
}

/** A VM that is drained and then stopped. */
export interface PendingStop {
    readonly vmId: string;
    /** When it may be stopped: requests in progress have ended by then. */
    readonly stopAtWallMs: number;
    readonly sentAtWallMs: number;
    /** Whether the cloud has taken the order to stop. Until then it is repeated, also for a VM that no list shows. */
    readonly isStopped?: boolean;
}

/** Why no VM of an offer is started for a time. */
export interface OfferRefusal {
    /** Refusals in a row. */
    readonly count: number;
    readonly untilWallMs: number;
}

/** The declared state and what is on the way to it. */
export interface FleetState {
    readonly groups: readonly DeclaredGroup[];
    /** Rises with each start ordered; part of its token. */
    readonly generation: number;
    readonly starts: readonly PendingStart[];
    readonly loads: readonly PendingLoad[];
    readonly stops: readonly PendingStop[];
    /** Refusals by the name of the offer. */
    readonly refusals: Readonly<Record<string, OfferRefusal>>;
    /** Since when `SERVICE/VERSION` is no longer declared though VMs serve it. */
    readonly retiredAtWallMs: Readonly<Record<string, number>>;
}

/** What a step does. */
export enum FleetStepKind {
    Start = "start",
    Load = "load",
    /** Tells every node that the VM leaves. */
    Drain = "drain",
    Stop = "stop",
}

/** One step towards the declared state. */
export type FleetStep =
    | { readonly kind: FleetStepKind.Start; readonly start: PendingStart }
    | { readonly kind: FleetStepKind.Load; readonly load: PendingLoad }
    | { readonly kind: FleetStepKind.Drain; readonly stop: PendingStop }
    | { readonly kind: FleetStepKind.Stop; readonly stop: PendingStop };

/** Bounds on what is under way. */
export interface FleetLimits {
    /** Starts of model runners and orders to load under way at once; each reads weights from the store. */
    readonly weightLoads: number;
    /** Time between announcing that a VM leaves, or retiring its version, and taking it away. */
    readonly drainMs: number;
}

/** The state before anything was declared. */
export const EMPTY_FLEET_STATE: FleetState = {
    groups: [],
    generation: 0,
    starts: [],
    loads: [],
    stops: [],
    refusals: {},
    retiredAtWallMs: {},
};
