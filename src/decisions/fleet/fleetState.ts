/**
 * @module The fleet's state as stored in the table, from which any node can continue.
 */
import type { DeclaredGroup, FleetGroupKey } from "./fleetPlan";

/** A start that was ordered and whose VM has not appeared in the list yet. */
export interface PendingStart extends FleetGroupKey {
    readonly role: DeclaredGroup["role"];
    /** Idempotency token, built from group, slot and generation: ordering with it again starts no second VM. */
    readonly token: string;
    /** Index of the VM in its group, from 0. */
    readonly slot: number;
    readonly orderedAtWallMs: number;
    /** When the order was last sent. */
    readonly sentAtWallMs: number;
    /** Set once the cloud has accepted the start. */
    readonly vmId?: string;
}

/** An order to load another version on a VM that doesn't serve that version yet. */
export interface PendingLoad {
    readonly vmId: string;
    /** Incarnation of the VM's process; the order is dropped when a new process runs on the VM. */
    readonly incarnation: number;
    readonly serviceName: string;
    readonly version: string;
    readonly token: string;
    readonly orderedAtWallMs: number;
    readonly sentAtWallMs: number;
}

/** A VM that is being drained and then stopped. */
export interface PendingStop {
    readonly vmId: string;
    /** End of the drain time, from which the VM may be stopped. */
    readonly stopAtWallMs: number;
    readonly sentAtWallMs: number;
    /** Whether the cloud has accepted the order to stop. Until then it is retried, even if the list omits the VM. */
    readonly isStopped?: boolean;
}

/** Backoff of an offer after refused starts or a reclaim wave. */
export interface OfferRefusal {
    /** Consecutive refusals. */
    readonly count: number;
    /** No VM of the offer is started before this time. */
    readonly untilWallMs: number;
}

/** The declared groups and the orders in progress towards them. */
export interface FleetState {
    readonly groups: readonly DeclaredGroup[];
    /** Number of the latest order to start or load; part of its token. */
    readonly generation: number;
    readonly starts: readonly PendingStart[];
    readonly loads: readonly PendingLoad[];
    readonly stops: readonly PendingStop[];
    /** Backoffs by offer id. */
    readonly refusals: Readonly<Record<string, OfferRefusal>>;
    /** When each `SERVICE/VERSION` that VMs still serve was first found to be undeclared. */
    readonly retiredAtWallMs: Readonly<Record<string, number>>;
}

/** What a step does. */
export enum FleetStepKind {
    Start = "start",
    Load = "load",
    /** Announces to all nodes that the VM is leaving. */
    Drain = "drain",
    Stop = "stop",
}

/** One step towards the declared groups. */
export type FleetStep =
    | { readonly kind: FleetStepKind.Start; readonly start: PendingStart }
    | { readonly kind: FleetStepKind.Load; readonly load: PendingLoad }
    | { readonly kind: FleetStepKind.Drain; readonly stop: PendingStop }
    | { readonly kind: FleetStepKind.Stop; readonly stop: PendingStop };

/** Limits on orders in progress. */
export interface FleetLimits {
    /** Maximum number of concurrent model runner starts and loads; each of them reads weights from the store. */
    readonly weightLoads: number;
    /** Time for requests to end after a VM was announced as leaving or its version was retired. */
    readonly drainMs: number;
}

/** The state before any group is declared. */
export const EMPTY_FLEET_STATE: FleetState = {
    groups: [],
    generation: 0,
    starts: [],
    loads: [],
    stops: [],
    refusals: {},
    retiredAtWallMs: {},
};
