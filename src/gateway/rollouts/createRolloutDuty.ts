/**
 * @module The duty to end each ordered move of a service by its deadline, and to store its state for the operator.
 */
import type { Clock } from "../../base/clock";
import { FailureKind } from "../../base/failure";
import type { Log } from "../../base/log/log";
import { computeNextStepMs } from "../../decisions/versions/computeNextStepMs";
import { decideRolloutPhase } from "../../decisions/versions/decideRolloutPhase";
import { RolloutPhase } from "../../model/gateway";
import type { RolloutRecordsPort, StoredRolloutRecord } from "../../ports/rolloutRecords";
import type { ClusterTime } from "../tables/createClusterTime";
import type { EndpointDirectory } from "../endpoints/createEndpointDirectory";
import type { RolloutMove, Rollouts } from "./rollouts";
import type { CheckHolder, Duty } from "../duties/startDutyHolder";

/** Time between two attempts to read or write the records while the store fails. */
const RETRY_MS = 400;

/** Dependencies of the duty. */
export interface RolloutDutyOptions {
    readonly rollouts: Pick<Rollouts, "listMoves" | "advanceMove" | "applyRecords">;
    readonly directory: Pick<EndpointDirectory, "listUsable">;
    readonly records: RolloutRecordsPort;
    readonly clusterTime: Pick<ClusterTime, "readClusterMs" | "hasAgreedOffset">;
    readonly clock: Clock;
    readonly log: Log;
}

/**
 * Creates the duty.
 *
 * @param options - Dependencies
 * @returns The duty
 * @example
 * createRolloutDuty({ rollouts, directory, records, clusterTime, clock, log });
 */
export function createRolloutDuty(options: RolloutDutyOptions): Duty {
    const { rollouts, directory, records, clusterTime, clock, log } = options;
    /** What the store has, by service; `undefined` until it was read in this term, and after a lost answer. */
    let stored: Map<string, StoredRolloutRecord> | undefined;
    let retryAtMs = 0;

    const loadRecords = async (): Promise<void> => {
        const listed = await records.listRecords();
        if (listed.isErr()) {
            retryAtMs = clock.readMonotonicMs() + RETRY_MS;
            return;
        }
        stored = new Map(listed.value.map(record => [record.service, record]));
        rollouts.applyRecords(listed.value);
    };
    const storePhase = async ({ order, knownForMs }: RolloutMove, phase: RolloutPhase) => {
        const known = stored?.get(order.service);
        const orderedAtMs =
            known?.order === order.revision ? known.orderedAtMs : clusterTime.readClusterMs() - knownForMs;
        const { service, target, revision } = order;
        const record = { service, target, order: revision, phase, orderedAtMs };
        const written = await records.commitRecord(record, known?.rowVersion);
        // Whatever the answer, the row is read back: its version is needed, and a lost answer may hide a write.
        stored = undefined;
        if (written.isErr() && written.error.kind !== FailureKind.StoreConflict) {
            retryAtMs = clock.readMonotonicMs() + RETRY_MS;
        }
        log.info("roll-out stored", {
            service,
            target,
            phase: RolloutPhase[phase],
            failure: written.isErr() ? written.error.message : undefined,
        });
    };
    const findRecord = ({ order }: RolloutMove) => {
        const known = stored?.get(order.service);
        return known?.order === order.revision ? known : undefined;
    };
    const computeElapsedMs = (move: RolloutMove): number => {
        const record = findRecord(move);
        return record === undefined
            ? move.knownForMs
            : Math.max(move.knownForMs, clusterTime.readClusterMs() - record.orderedAtMs);
    };
    /** Decides on a move, and gives the phase that the store must have; `undefined` if it has it. */
    const decideStored = (move: RolloutMove): RolloutPhase | undefined => {
        const { order } = move;
        const record = findRecord(move);
        if (record !== undefined && record.phase >= RolloutPhase.RolledBack) {
            return undefined;
        }
        const usable = directory.listUsable(order.service);
        const { phase, reason } = decideRolloutPhase({
            phase: move.phase,
            durationMs: order.durationMs,
            elapsedMs: computeElapsedMs(move),
            phaseForMs: move.phaseForMs,
            missing: move.missing,
            hasTargets: usable.some(({ endpoint }) => endpoint.version === order.target),
            isInUse: move.isInUse,
        });
        if (reason !== undefined && phase !== RolloutPhase.Completed) {
            rollouts.advanceMove(order, phase, reason);
        }
        return record === undefined || phase >= RolloutPhase.RolledBack ? phase : undefined;
    };
    const runMove = async (move: RolloutMove, check: CheckHolder) => {
        const phase = decideStored(move);
        if (phase !== undefined && check() !== undefined) {
            await storePhase(move, phase);
        }
    };
    return {
        beginTerm: () => {
            stored = undefined;
            retryAtMs = 0;
        },
        computeDueMs: () => {
            const open = rollouts.listMoves().filter(({ phase }) => phase < RolloutPhase.RolledBack);
            const dueMs = open.flatMap(move => computeNextStepMs(move.order.durationMs, computeElapsedMs(move)) ?? []);
            return dueMs.length === 0 ? undefined : Math.min(...dueMs);
        },
        runStep: async check => {
            const moves = rollouts.listMoves();
            if (moves.length === 0 || !clusterTime.hasAgreedOffset() || clock.readMonotonicMs() < retryAtMs) {
                return;
            }
            if (stored === undefined) {
                await loadRecords();
            }
            if (stored !== undefined) {
                for (const move of rollouts.listMoves()) {
                    await runMove(move, check);
                }
            }
        },
    };
}
