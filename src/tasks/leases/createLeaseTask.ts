/**
 * @module The task that acquires leases for this node and keeps them.
 */
import { LRUCache } from "lru-cache";
import { err, ok, type Result } from "neverthrow";
import { ulid } from "ulid";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import { isLeaseHeld } from "../../decisions/leases/applyLeaseEvents";
import { decideLeaseStep } from "../../decisions/leases/decideLeaseStep";
import { type LeaseObservation, type LeaseStep, LeaseStepKind } from "../../decisions/leases/leaseState";
import type { TablePort } from "../../ports/table";
import {
    ACQUIRE_TRIES,
    LEASE_DURATION_MS,
    LEASE_MARGIN_SHARE,
    OBSERVATIONS_MAX,
    RETRY_DELAY_MS,
} from "./_lib/constants";
import { createLeaseHandle } from "./_lib/createLeaseHandle";
import { createLeaseKeeper, type LeaseKeeper } from "./_lib/createLeaseKeeper";
import { decodeLeaseRow, toLeaseKey } from "./_lib/leaseRows";
import type { AcquireOptions, LeaseClient, LeaseHandle } from "./leaseClient";

/** What the lease task needs. */
export interface LeaseTaskOptions {
    readonly nodeId: string;
    readonly table: TablePort;
    readonly clock: Clock;
}

/** The running lease task. Disposing of it stops the renewals; the leases lapse unless they were released. */
export type LeaseTask = LeaseClient & Disposable & DumpSource;

/**
 * Starts the lease task. Its holder id is unique to this start of the process, so that a restarted node does not take
 * its predecessor's lease for its own.
 *
 * @param options - Its dependencies
 * @returns The task and its client
 * @example
 * const lease = await leases.acquireLease("move/chat", { waitMs: 15_000 });
 */
export function createLeaseTask(options: LeaseTaskOptions): LeaseTask {
    const { table, clock } = options;
    const holderId = `${options.nodeId}/${ulid()}`;
    const handles = new Set<LeaseHandle>();
    /** Since when each lease's row has been as it is: a caller that tries now and then need not start to wait anew. */
    const observations = new LRUCache<string, LeaseObservation>({ max: OBSERVATIONS_MAX });
    let disposed = false;

    const startHandle = (name: string, keeper: LeaseKeeper): Result<LeaseHandle, Failure> => {
        const { held } = keeper.readState();
        if (held === undefined || !isLeaseHeld(keeper.readState(), clock.readMonotonicMs(), 0)) {
            return err(createFailure(FailureKind.LeaseLost, `Lease ${name} lapsed while it was being acquired.`));
        }
        const handle = createLeaseHandle({
            name,
            keeper,
            held,
            clock,
            isStopped: () => disposed,
            onEnded: () => void handles.delete(handle),
        });
        handles.add(handle);
        return ok(handle);
    };
    const acquireLease = async (name: string, acquire: AcquireOptions = {}): Promise<Result<LeaseHandle, Failure>> => {
        const durationMs = acquire.durationMs ?? LEASE_DURATION_MS;
        const terms = { holderId, durationMs, marginMs: durationMs * LEASE_MARGIN_SHARE };
        const onSeen = (observation: LeaseObservation) => void observations.set(name, observation);
        const keeper = createLeaseKeeper({ name, terms, table, clock, firstSeen: observations.get(name), onSeen });
        const giveUpAtMs = clock.readMonotonicMs() + (acquire.waitMs ?? 0);
        let failure = createFailure(FailureKind.StoreUnavailable, "The store gave no answer.");
        for (let tries = 0; tries < ACQUIRE_TRIES && !disposed;) {
            const nowMs = clock.readMonotonicMs();
            const step = decideLeaseStep(keeper.readState(), nowMs);
            if (step.kind === LeaseStepKind.Wait) {
                if (nowMs >= giveUpAtMs) {
                    return err(describeHolder(name, keeper, step.untilMs - nowMs));
                }
                await clock.waitMs(Math.min(step.untilMs - nowMs, giveUpAtMs - nowMs, durationMs / 4));
                await keeper.readFromStore();
                continue;
            }
            const outcome = await runStep(keeper, step);
            if (keeper.readState().held !== undefined) {
                return startHandle(name, keeper);
            }
            if (outcome.isErr()) {
                failure = outcome.error;
                tries++;
                await clock.waitMs(RETRY_DELAY_MS);
            }
        }
        return err(describeOpenOutcome(failure, keeper));
    };
    return {
        name: "leases",
        acquireLease,
        readLease: async name => {
            const row = (await table.readRow(toLeaseKey(name))).andThen(decodeLeaseRow);
            return row.map(read => (read === undefined ? undefined : { name, ...read.row }));
        },
        dumpState: () => ({
            holderId,
            held: [...handles].map(({ name, epoch, checkHeld }) => ({ name, epoch, isHeld: checkHeld().isOk() })),
        }),
        dispose: () => {
            disposed = true;
        },
    };
}

function runStep(keeper: LeaseKeeper, step: LeaseStep): Promise<Result<void, Failure>> {
    return step.kind === LeaseStepKind.Write
        ? keeper.writeToStore(step.row, step.expectedVersion)
        : keeper.readFromStore();
}

function describeHolder(name: string, keeper: LeaseKeeper, retryAfterMs: number): Failure {
    const row = keeper.readState().seen?.row;
    return createFailure(FailureKind.LeaseLost, `Lease ${name} is held by ${row?.holderId ?? "another node"}.`, {
        retryAfterMs,
        details: { holderId: row?.holderId, epoch: row?.epoch },
    });
}

function describeOpenOutcome(failure: Failure, keeper: LeaseKeeper): Failure {
    if (keeper.readState().sent.length === 0) {
        return failure.kind === FailureKind.StoreConflict
            ? createFailure(FailureKind.LeaseLost, "Other nodes acquired the lease first.", { retryAfterMs: 0 })
            : { ...failure, kind: FailureKind.StoreUnavailable };
    }
    return { ...failure, kind: FailureKind.StoreOutcomeUnknown, execution: Execution.Unknown };
}
