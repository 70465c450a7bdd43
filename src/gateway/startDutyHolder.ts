/**
 * @module Holding the duties: one node at a time reports usage and orders endpoints.
 */
import type { Clock } from "../base/clock";
import { type TaskGenerator, superviseTask, waitFor } from "../base/csp";
import { computeElapsedMs, readInstant } from "../base/instant";
import type { Log } from "../base/log/log";
import { createTaskFailureLogger } from "../base/log/createTaskFailureLogger";
import type { TablePort } from "../ports/table";
import type { DutyHolder } from "../ports/duties";
import { createLeaseTask } from "../tasks/leases/createLeaseTask";
import type { LeaseClient, LeaseHandle } from "../tasks/leases/leaseClient";
import type { Membership } from "./createMembership";

const LEASE_NAME = "duties";
/** Added to the least length of a lease, so that no two holders act within it. */
const LEASE_EXTRA_MS = 100;
const STEP_MS = 250;
/** Nodes that look at the lease often; the others only now and then, to spare the store. */
const CANDIDATES = 2;
const CANDIDATE_WAIT_MS = 5_000;
const OTHERS_PERIOD_MS = 2_500;
/** Time that a call may take; the lease has to outlast it. */
const CALL_MS = 1_100;
/** Between two steps more than this can't pass unless the machine was stopped. */
const STOPPED_MS = 1_500;

/** Gives the holder if this node may act right now; asked right before each call. */
export type CheckHolder = () => DutyHolder | undefined;

/** A duty. */
export interface Duty {
    /** Called at the start of each term of this node. */
    beginTerm(): void;
    /** Does what is due. */
    runStep(check: CheckHolder): Promise<void>;
}

/** The part of this node in the duties. */
export interface DutyHolding {
    /** Ends it. The lease is released only if it was held for its length, so that holders never alternate within it. */
    leave(): void;
}

/** What holding the duties needs. */
export interface DutyHolderOptions {
    readonly node: string;
    readonly leaseMs: number;
    readonly table: TablePort;
    readonly membership: Membership;
    readonly duties: readonly Duty[];
    readonly clock: Clock;
    readonly log: Log;
}

/**
 * Starts to try for the duties, and to carry them out while this node holds them.
 *
 * @param options - What is needed
 * @returns How to leave
 * @example
 * startDutyHolder({ node, leaseMs, table, membership, duties, clock, log });
 */
export function startDutyHolder(options: DutyHolderOptions): DutyHolding {
    const { clock, log, membership, node } = options;
    const durationMs = options.leaseMs + LEASE_EXTRA_MS;
    let isStopped = false;

    const isCandidate = () => membership.listOthers().filter(member => member.node < node).length < CANDIDATES;
    const holdTerm = function* (lease: LeaseHandle): TaskGenerator<void> {
        let steppedAt = readInstant(clock);
        const wasStopped = () => computeElapsedMs(steppedAt, readInstant(clock)) > STOPPED_MS;
        const check: CheckHolder = () =>
            !wasStopped() && !isStopped && lease.checkHeld(CALL_MS).isOk()
                ? { nodeName: node, epoch: lease.epoch }
                : undefined;
        options.duties.forEach(duty => duty.beginTerm());
        while (!isStopped && lease.checkHeld().isOk()) {
            for (const duty of options.duties) {
                yield* waitFor(duty.runStep(check));
                if (wasStopped()) {
                    return;
                }
                steppedAt = readInstant(clock);
            }
            yield* waitFor(clock.waitMs(STEP_MS));
            if (wasStopped()) {
                return;
            }
            steppedAt = readInstant(clock);
        }
    };
    const acquire = function* (leases: LeaseClient): TaskGenerator<LeaseHandle | undefined> {
        while (!isStopped) {
            const waitMs = isCandidate() ? CANDIDATE_WAIT_MS : 0;
            const lease = yield* waitFor(leases.acquireLease(LEASE_NAME, { durationMs, waitMs }));
            if (lease.isOk()) {
                return lease.value;
            }
            log.debug("duties not held", { reason: lease.error.message });
            yield* waitFor(clock.waitMs(isCandidate() ? STEP_MS : OTHERS_PERIOD_MS));
        }
        return undefined;
    };
    const run = function* (): TaskGenerator<void> {
        while (!isStopped) {
            const leases = createLeaseTask({ nodeId: node, table: options.table, clock });
            const lease = yield* acquire(leases);
            if (lease !== undefined) {
                log.info("duties held", { epoch: lease.epoch });
                const heldSince = readInstant(clock);
                yield* holdTerm(lease);
                if (
                    isStopped &&
                    lease.checkHeld().isOk() &&
                    clock.readMonotonicMs() - heldSince.monotonicMs > durationMs
                ) {
                    yield* waitFor(lease.release());
                }
                log.info("duties no longer held", { epoch: lease.epoch });
            }
            leases.dispose();
        }
    };
    void superviseTask("duties", run, {
        clock,
        reportFailure: createTaskFailureLogger(log),
    });
    return {
        leave: () => {
            isStopped = true;
        },
    };
}
