/**
 * @module The task that acquires leases for this node and renews them.
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
    MAXIMUM_ACQUIRE_ATTEMPTS,
    LEASE_DURATION_MS,
    LEASE_SAFETY_MARGIN_FRACTION,
    MAXIMUM_REMEMBERED_LEASES,
    RETRY_DELAY_MS,
} from "./_lib/constants";
import { createLeaseHandle } from "./_lib/createLeaseHandle";
import { createLeaseRowClient, type LeaseRowClient } from "./_lib/createLeaseRowClient";
import { decodeLeaseRow, toLeaseKey } from "./_lib/leaseRows";
import type { AcquireOptions, LeaseClient, LeaseHandle } from "./leaseClient";

/** Dependencies of the lease task. */
export interface LeaseTaskOptions {
    readonly nodeId: string;
    readonly table: TablePort;
    readonly clock: Clock;
}

/** The running lease task. Disposing it stops the renewals; leases that were not released then expire. */
export type LeaseTask = LeaseClient & Disposable & DumpSource;

/**
 * Starts the lease task. Its holder id is unique to this process, so that a restarted node does not mistake its
 * predecessor's lease for its own.
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
    /**
     * Last observed row of each lease and since when it has been unchanged. A caller that retries occasionally thus
     * need not wait for the whole lease duration again each time.
     */
    const observations = new LRUCache<string, LeaseObservation>({ max: MAXIMUM_REMEMBERED_LEASES });
    let disposed = false;

    const startHandle = (name: string, rowClient: LeaseRowClient): Result<LeaseHandle, Failure> => {
        const { held } = rowClient.readState();
        if (held === undefined || !isLeaseHeld(rowClient.readState(), clock.readMonotonicMs(), 0)) {
            return err(createFailure(FailureKind.LeaseLost, `Lease ${name} expired while it was being acquired.`));
        }
        const handle = createLeaseHandle({
            name,
            rowClient,
            held,
            clock,
            isStopped: () => disposed,
            onEnded: () => void handles.delete(handle),
        });
        handles.add(handle);
        return ok(handle);
    };
    const acquireLease = async (
        name: string,
        acquireOptions: AcquireOptions = {},
    ): Promise<Result<LeaseHandle, Failure>> => {
        const durationMs = acquireOptions.durationMs ?? LEASE_DURATION_MS;
        const terms = { holderId, durationMs, marginMs: durationMs * LEASE_SAFETY_MARGIN_FRACTION };
        const onObservation = (observation: LeaseObservation) => void observations.set(name, observation);
        const rowClient = createLeaseRowClient({
            name,
            terms,
            table,
            clock,
            initialObservation: observations.get(name),
            onObservation,
        });
        const deadlineMs = clock.readMonotonicMs() + (acquireOptions.waitMs ?? 0);
        let failure = createFailure(FailureKind.StoreUnavailable, "The store did not respond.");
        for (let failedCalls = 0; failedCalls < MAXIMUM_ACQUIRE_ATTEMPTS && !disposed;) {
            const nowMs = clock.readMonotonicMs();
            const step = decideLeaseStep(rowClient.readState(), nowMs);
            if (step.kind === LeaseStepKind.Wait) {
                if (nowMs >= deadlineMs) {
                    return err(describeOtherHolder(name, rowClient, step.untilMs - nowMs));
                }
                await clock.waitMs(Math.min(step.untilMs - nowMs, deadlineMs - nowMs, durationMs / 4));
                await rowClient.readFromStore();
                continue;
            }
            const outcome = await runStep(rowClient, step);
            if (rowClient.readState().held !== undefined) {
                return startHandle(name, rowClient);
            }
            if (outcome.isErr()) {
                failure = outcome.error;
                failedCalls++;
                await clock.waitMs(RETRY_DELAY_MS);
            }
        }
        return err(describeAcquireFailure(failure, rowClient));
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

function runStep(rowClient: LeaseRowClient, step: LeaseStep): Promise<Result<void, Failure>> {
    return step.kind === LeaseStepKind.Write
        ? rowClient.writeToStore(step.row, step.expectedVersion)
        : rowClient.readFromStore();
}

function describeOtherHolder(name: string, rowClient: LeaseRowClient, retryAfterMs: number): Failure {
    const row = rowClient.readState().seen?.row;
    return createFailure(FailureKind.LeaseLost, `Lease ${name} is held by ${row?.holderId ?? "another node"}.`, {
        retryAfterMs,
        details: { holderId: row?.holderId, epoch: row?.epoch },
    });
}

function describeAcquireFailure(failure: Failure, rowClient: LeaseRowClient): Failure {
    if (rowClient.readState().sent.length === 0) {
        return failure.kind === FailureKind.StoreConflict
            ? createFailure(FailureKind.LeaseLost, "Other nodes acquired the lease first.", { retryAfterMs: 0 })
            : { ...failure, kind: FailureKind.StoreUnavailable };
    }
    return { ...failure, kind: FailureKind.StoreOutcomeUnknown, execution: Execution.Unknown };
}
