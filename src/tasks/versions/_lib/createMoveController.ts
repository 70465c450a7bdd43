/**
 * @module Decides and commits the steps of version moves whose lease this node holds.
 */
import { assertInvariant, Invariant } from "../../../base/assertInvariant";
import type { Clock } from "../../../base/clock";
import { type Failure, FailureKind } from "../../../base/failure";
import { hashText } from "../../../base/hashText";
import { decideMoveStep } from "../../../decisions/versions/decideMoveStep";
import { listOwnCounts } from "../../../decisions/versions/listOwnCounts";
import { listUnseenRoutes } from "../../../decisions/versions/listUnseenRoutes";
import { type MoveFacts, type MoveStep, MoveStepKind } from "../../../decisions/versions/moveStep";
import { sumReports } from "../../../decisions/versions/sumReports";
import { type CellCounts, Measure, type MoveEvidence } from "../../../decisions/versions/versionEvidence";
import { type ItemChange, ItemKind, MoveState, type VersionMove } from "../../../model/configuration";
import type { ConfigurationClient } from "../../configuration/configurationClient";
import type { LeaseClient, LeaseHandle } from "../../leases/leaseClient";
import { LEASE_CANDIDATES, MOVE_LEASE_DURATION_MS } from "../constants";

/** Dependencies of a move controller. */
export interface MoveControllerOptions {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly configuration: ConfigurationClient;
    readonly leases: LeaseClient;
    readonly listLiveNodeIds: () => readonly string[];
    /** Maximum share of the traffic that the endpoints of the new version can carry, 0 to 1. */
    readonly computeSupportableShare: (move: VersionMove) => number;
    readonly reportFailure: (name: string, failure: Failure) => void;
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
}

/** Advances the moves whose lease this node holds. */
export interface MoveController {
    /**
     * Decides and commits the next step of a move, from the evidence and the fault known to this node. Does nothing if
     * another node holds the lease. Never rejects.
     */
    advanceMove(move: VersionMove, evidence: MoveEvidence, fault: string | undefined): Promise<void>;
    /** Releases the leases of moves that have ended. */
    releaseEndedMoves(activeNames: ReadonlySet<string>): Promise<void>;
    /** Lists the names of the moves whose lease this node has acquired. */
    listHeldMoves(): readonly string[];
}

interface AttemptTotals {
    readonly old: number;
    readonly next: number;
}

interface HeldMove {
    readonly lease: LeaseHandle;
    /** Totals at the latest step that this node has seen. */
    totalsAtStep: AttemptTotals;
    steppedWallMs: number | undefined;
}

/** State of a move after a step; a step without an entry changes nothing. */
const STATE_AFTER_STEP: Readonly<Partial<Record<MoveStepKind, MoveState>>> = {
    [MoveStepKind.Begin]: MoveState.Moving,
    [MoveStepKind.Raise]: MoveState.Moving,
    [MoveStepKind.Finish]: MoveState.Done,
    [MoveStepKind.RollBack]: MoveState.TakenBack,
};

/**
 * Creates a move controller.
 *
 * @param options - Leases, configuration, capacity
 * @returns The controller
 * @example
 * await controller.advanceMove(move, evidence, brakes.findReason(move.name));
 */
export function createMoveController(options: MoveControllerOptions): MoveController {
    const { clock, configuration } = options;
    const held = new Map<string, HeldMove>();

    const acquireMove = async (move: VersionMove, totals: AttemptTotals): Promise<HeldMove | undefined> => {
        const known = held.get(move.name);
        if (known?.lease.checkHeld().isOk() === true) {
            return known;
        }
        held.delete(move.name);
        if (!isCandidate(options, move)) {
            return undefined;
        }
        const lease = await options.leases.acquireLease(`move/${move.name}`, { durationMs: MOVE_LEASE_DURATION_MS });
        if (lease.isErr()) {
            return undefined;
        }
        const acquired = { lease: lease.value, totalsAtStep: totals, steppedWallMs: move.steppedWallMs };
        held.set(move.name, acquired);
        return acquired;
    };
    const commitStep = async (move: VersionMove, step: MoveStep, heldMove: HeldMove): Promise<void> => {
        const nowWallMs = clock.readWallMs();
        const state = STATE_AFTER_STEP[step.kind] ?? move.state;
        const isWithinDeadline = state !== MoveState.Done || nowWallMs < move.doneByWallMs;
        assertInvariant(isWithinDeadline, Invariant.MoveEndsByItsTime, `${move.name} at ${nowWallMs}`);
        const value: VersionMove = {
            ...move,
            state,
            share: step.share,
            reason: step.reason,
            startedWallMs: move.startedWallMs ?? nowWallMs,
            steppedWallMs: nowWallMs,
        };
        const current = configuration.readCurrent();
        const items = buildItems(value, current.services[move.serviceName]);
        if (!isWithinDeadline || heldMove.lease.checkHeld().isErr()) {
            return;
        }
        const committed = await configuration.commitChange({ basedOnRevision: current.revision, items });
        if (committed.isOk()) {
            options.reportEvent("version move", { move: move.name, step: step.kind, reason: step.reason });
        } else if (committed.error.kind !== FailureKind.RevisionConflict) {
            options.reportFailure("version-move", committed.error);
        }
    };
    return {
        advanceMove: async (move, evidence, fault) => {
            const cells = [...sumReports([listOwnCounts(evidence), ...evidence.peerCounts.values()]).values()];
            const totals: AttemptTotals = { old: sumTrials(cells, "old"), next: sumTrials(cells, "next") };
            const heldMove = await acquireMove(move, totals);
            if (heldMove === undefined) {
                return;
            }
            if (move.steppedWallMs !== heldMove.steppedWallMs) {
                heldMove.totalsAtStep = totals;
                heldMove.steppedWallMs = move.steppedWallMs;
            }
            const facts: MoveFacts = {
                nowWallMs: clock.readWallMs(),
                fault,
                attemptsSinceStep: Math.max(0, totals.next - heldMove.totalsAtStep.next),
                oldAttemptsSinceStep: Math.max(0, totals.old - heldMove.totalsAtStep.old),
                unseenRoutes: listUnseenRoutes(cells),
                supportableShare: options.computeSupportableShare(move),
            };
            const step = decideMoveStep(move, facts);
            if (STATE_AFTER_STEP[step.kind] !== undefined) {
                await commitStep(move, step, heldMove);
            }
        },
        releaseEndedMoves: async activeNames => {
            const ended = [...held].filter(([name]) => !activeNames.has(name));
            for (const [name, { lease }] of ended) {
                held.delete(name);
                await lease.release();
            }
        },
        listHeldMoves: () => [...held.keys()],
    };
}

function isCandidate(options: MoveControllerOptions, move: VersionMove): boolean {
    const ranked = [...options.listLiveNodeIds()].sort(
        (left, right) => hashText(`${move.name}|${right}`) - hashText(`${move.name}|${left}`),
    );
    return ranked.slice(0, LEASE_CANDIDATES).includes(options.nodeId);
}

function buildItems(
    value: VersionMove,
    service: NonNullable<ItemChange & { kind: ItemKind.Service }>["value"],
): readonly ItemChange[] {
    const move: ItemChange = { kind: ItemKind.VersionMove, name: value.name, value };
    if (value.state !== MoveState.Done || service === undefined) {
        return [move];
    }
    const moved = { ...service, version: value.toVersion };
    return [move, { kind: ItemKind.Service, name: service.name, value: moved }];
}

function sumTrials(cells: readonly CellCounts[], side: "old" | "next"): number {
    return cells.reduce((sum, cell) => sum + cell[side][Measure.Failures].trials, 0);
}
