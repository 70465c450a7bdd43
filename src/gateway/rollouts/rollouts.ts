/**
 * @module The moves of services to other versions, as the other modules of the gateway see them.
 */
import type { DumpSource } from "../../base/dump";
import type { Instant } from "../../base/instant";
import type { GatewayEndpoint, RolloutOrder, RolloutPhase } from "../../model/gateway";
import type { RolloutRecord } from "../../ports/rolloutRecords";
import type { EndpointRecord } from "../endpoints/endpointRecord";
import type { RolloutSource } from "../news/fleetNewsOptions";
import type { AttemptResult } from "../forwarding/sendAttempt";

/** A new or removed order for a service. */
export interface OrderChange {
    readonly service: string;
    /** `undefined` if the operator has removed it. */
    readonly order: RolloutOrder | undefined;
}

/** An ordered move, as this node knows it. */
export interface RolloutMove {
    readonly order: RolloutOrder;
    readonly phase: RolloutPhase;
    /** Time for which this node has known the order. */
    readonly knownForMs: number;
    /** Time since its phase began. */
    readonly phaseForMs: number;
    /** True if the target was the service's only version when it was ordered. */
    readonly isInUse: boolean;
    /** What is missing before the target counts as good, by the attempts at all nodes. */
    readonly missing: readonly string[];
}

/** An attempt that is followed for the comparison of versions. */
export interface VersionTrial {
    /** Records the time to the first part of the answer as a multiple of the expected one. */
    recordFirstPart(slowness: number): void;
    finish(result: AttemptResult): void;
}

/** The moves of all services. */
export interface Rollouts extends RolloutSource, DumpSource {
    /** Takes the operator's orders: all of them, or those that changed. */
    applyOrders(changes: readonly OrderChange[], isWholeTable: boolean): void;
    /** Records that the known orders were the newest ones at this moment. */
    recordConfirmation(at: Instant): void;
    /** Takes endpoints' versions when they are listed; those of the first whole list need no confirmation. */
    recordVersions(endpoints: readonly GatewayEndpoint[], isFirstList: boolean): void;
    /** Lists those of a service's endpoints that an attempt may be made at; only a first attempt may be part of a trial. */
    filterEligible(service: string, records: readonly EndpointRecord[], isFirst: boolean): readonly EndpointRecord[];
    /** Follows an attempt from its begin. */
    beginAttempt(record: EndpointRecord, route: string, isFirst: boolean): VersionTrial;
    /** True if an endpoint may serve requests without a bound. */
    isServing(endpoint: GatewayEndpoint): boolean;
    /** True while a service is being moved, and shortly after a rollback: its fleet must be left as it is. */
    isMoving(service: string): boolean;
    listMoves(): readonly RolloutMove[];
    /** Lets a move enter a later phase. */
    advanceMove(order: RolloutOrder, phase: RolloutPhase, reason: string): void;
    /** Takes what the store has of moves. */
    applyRecords(records: readonly RolloutRecord[]): void;
}
