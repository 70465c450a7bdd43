/**
 * @module Lists the demand for each version of a service.
 */
import { MoveState, type Service, ServiceKind, type VersionMove } from "../../model/configuration";
import { VmRole } from "../../model/endpoint";
import { MINIMUM_PREPARED_SHARE, FULL_PREPARATION_PROGRESS, PREPARED_SHARE_FACTOR } from "./constants";
import type { DemandEstimate } from "./estimateDemand";
import type { ClassTarget, ServiceDemand } from "./fleetPlan";

/** Inputs of the demand for the versions of a service. */
export interface VersionDemandFacts {
    readonly service: Service;
    readonly moves: readonly VersionMove[];
    readonly estimate: DemandEstimate;
    readonly targets: readonly ClassTarget[];
    readonly nowWallMs: number;
}

/**
 * Lists the demand for each version of a service. Capacity for all of the demand is kept on the current version until a
 * version move has ended, because the move may be rolled back at any time. Capacity of the new version is prepared
 * ahead of its share of traffic.
 *
 * @param facts - The service, its version moves and its demand
 * @returns One demand for each version that needs VMs
 * @example
 * listVersionDemands({ service, moves: [], estimate, targets, nowWallMs }).length; //=> 1
 */
export function listVersionDemands(facts: VersionDemandFacts): readonly ServiceDemand[] {
    const { service, estimate, targets } = facts;
    const common = {
        serviceName: service.name,
        role: service.kind === ServiceKind.Model ? VmRole.ModelRunner : VmRole.ApplicationRunner,
        targets,
    } as const;
    const serving: ServiceDemand = {
        ...common,
        version: service.version,
        unitsPerSecond: estimate.unitsPerSecond,
        demandReason: estimate.reason,
    };
    const moving = facts.moves.filter(
        move =>
            move.serviceName === service.name && move.state === MoveState.Moving && move.toVersion !== service.version,
    );
    return [
        serving,
        ...moving.map(move => {
            const share = computePreparedShare(move, facts.nowWallMs);
            return {
                ...common,
                version: move.toVersion,
                unitsPerSecond: estimate.unitsPerSecond * share,
                demandReason: `${Math.round(share * 100)}% for the move ${move.name}; ${estimate.reason}`,
            };
        }),
    ];
}

function computePreparedShare(move: VersionMove, nowWallMs: number): number {
    const startedWallMs = move.startedWallMs ?? nowWallMs;
    const progress = (nowWallMs - startedWallMs) / Math.max(1, move.doneByWallMs - startedWallMs);
    const preparedShare = Math.max(MINIMUM_PREPARED_SHARE, move.share * PREPARED_SHARE_FACTOR);
    return progress >= FULL_PREPARATION_PROGRESS ? 1 : Math.min(1, preparedShare);
}
