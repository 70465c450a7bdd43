/**
 * @module Election of the node that carries out the duties: one node at a time reports usage and orders endpoints.
 */
import type { Clock } from "../../base/clock";
import { type TaskGenerator, waitFor } from "../../base/csp/index";
import { computeElapsedMs, readInstant } from "../../base/instant";
import type { Log } from "../../base/log/log";
import type { TablePort } from "../../ports/table";
import type { DutyHolder } from "../../ports/duties";
import { createLeaseTask } from "../../tasks/leases/createLeaseTask";
import type { LeaseClient, LeaseHandle } from "../../tasks/leases/leaseClient";
import { FailureOwner, type FailureReporter } from "../process/createFailureReporter";
import type { FleetNews } from "../news/createFleetNews";
import { startLoop } from "../process/startLoop";

const LEASE_NAME = "duties";
/** Added to the length of the lease, so that two nodes never act within one lease length. */
const LEASE_MARGIN_MS = 100;
const STEP_PERIOD_MS = 250;
/**
 * Number of relays, the first ones by name, that wait for the lease. The other relays try rarely, in case those stop in
 * turn; other nodes leave the store alone.
 */
const CANDIDATE_COUNT = 2;
const CANDIDATE_WAIT_MS = 30_000;
const NON_CANDIDATE_PERIOD_MS = 3_000;
/** A node that has just started may not hear all relays yet. */
const RELAY_AFTER_MS = 750;
/** Longest time that a call to the cloud may take; the lease must be valid for longer. */
const CALL_MAX_MS = 1_100;
/** A longer time between two steps means that the process or its machine was paused. */
const PAUSED_STEP_MS = 1_500;

/** Gives the holder if this node may act now, and `undefined` otherwise. Duties check it right before each call. */
export type CheckHolder = () => DutyHolder | undefined;

/** A task for the cloud that one node at a time carries out: the holder of the duties. */
export interface Duty {
    /** Called when this node becomes the holder. */
    beginTerm(): void;
    /** Carries out what is due; called repeatedly. */
    runStep(check: CheckHolder): Promise<void>;
    /** Gives the time until its next step is due; `undefined` if the usual period between steps will do. */
    computeDueMs?(): number | undefined;
}

/** Handle of the participation of this node in the duties. */
export interface DutyHandle {
    /**
     * Ends the participation. The lease is released only if it was held for its full length, so that two nodes never
     * hold it within one length; otherwise it expires.
     */
    leave(): void;
}

/** Identity of this node, the duties, and dependencies. */
export interface DutyHolderOptions {
    readonly node: string;
    /** Least length of the lease. */
    readonly leaseMs: number;
    readonly table: TablePort;
    readonly news: FleetNews;
    readonly duties: readonly Duty[];
    readonly clock: Clock;
    readonly log: Log;
    readonly reportFailure: FailureReporter;
}

/**
 * Starts to compete for the lease of the duties, and to carry them out while this node holds it.
 *
 * @param options - Identity of this node, the duties, and dependencies
 * @returns The handle that ends the participation
 * @example
 * startDutyHolder({ node, leaseMs, table, news, duties, clock, log, reportFailure });
 */
export function startDutyHolder(options: DutyHolderOptions): DutyHandle {
    const { clock, log, news, node, reportFailure } = options;
    const durationMs = options.leaseMs + LEASE_MARGIN_MS;
    let relaySinceMs: number | undefined;
    let isStopped = false;
    let abandonWait: () => void = () => undefined;

    /** True if this node has been a relay for a while. */
    const isEligible = () => {
        const isRelay = news.isLoaded() && news.isRelay();
        relaySinceMs = isRelay ? (relaySinceMs ?? clock.readMonotonicMs()) : undefined;
        return relaySinceMs !== undefined && clock.readMonotonicMs() - relaySinceMs > RELAY_AFTER_MS;
    };
    /** True if this node is one of the first by name among the live relays. */
    const isCandidate = () => news.listAllRelays().filter(relay => relay.node < node).length < CANDIDATE_COUNT;
    /** Carries out what is due of a duty. If that throws, it is due again at the next step, and the others go on. */
    const runDuty = function* (duty: Duty, check: CheckHolder): TaskGenerator<void> {
        try {
            yield* waitFor(duty.runStep(check));
        } catch (error) {
            reportFailure(FailureOwner.Duty, error);
        }
    };
    /** Carries out the duties until the lease ends, this node leaves, or a pause makes the state outdated. */
    const holdTerm = function* (lease: LeaseHandle): TaskGenerator<void> {
        let steppedAt = readInstant(clock);
        const wasPaused = () => computeElapsedMs(steppedAt, readInstant(clock)) > PAUSED_STEP_MS;
        const check: CheckHolder = () =>
            !wasPaused() && !isStopped && lease.checkHeld(CALL_MAX_MS).isOk()
                ? { nodeName: node, epoch: lease.epoch }
                : undefined;
        options.duties.forEach(duty => duty.beginTerm());
        while (!isStopped && lease.checkHeld().isOk()) {
            for (const duty of options.duties) {
                yield* runDuty(duty, check);
                if (wasPaused()) {
                    return;
                }
                steppedAt = readInstant(clock);
            }
            yield* waitFor(clock.waitMs(computePauseMs(options.duties)));
            if (wasPaused()) {
                return;
            }
            steppedAt = readInstant(clock);
        }
    };
    const acquireDutyLease = function* (leases: LeaseClient): TaskGenerator<LeaseHandle | undefined> {
        while (!isStopped) {
            const isWaiting = isCandidate();
            if (isEligible()) {
                const waitMs = isWaiting ? CANDIDATE_WAIT_MS : 0;
                const lease = yield* waitFor(leases.acquireLease(LEASE_NAME, { durationMs, waitMs }));
                if (lease.isOk()) {
                    return lease.value;
                }
                log.debug("duties not held", { reason: lease.error.message });
            }
            yield* waitFor(clock.waitMs(isWaiting ? STEP_PERIOD_MS : NON_CANDIDATE_PERIOD_MS));
        }
        return undefined;
    };
    const carryOutTerm = function* (lease: LeaseHandle): TaskGenerator<void> {
        log.info("duties held", { epoch: lease.epoch });
        const heldFrom = readInstant(clock);
        yield* holdTerm(lease);
        const heldForMs = clock.readMonotonicMs() - heldFrom.monotonicMs;
        if (isStopped && lease.checkHeld().isOk() && heldForMs > durationMs) {
            yield* waitFor(lease.release());
        }
        log.info("duties no longer held", { epoch: lease.epoch });
    };
    const run = function* (): TaskGenerator<void> {
        while (!isStopped) {
            const leases = createLeaseTask({ nodeId: node, table: options.table, clock });
            abandonWait = leases.dispose;
            try {
                const lease = yield* acquireDutyLease(leases);
                abandonWait = () => undefined;
                if (lease !== undefined) {
                    yield* carryOutTerm(lease);
                }
            } finally {
                // Ends the renewals: a lease that is still held after an error expires, and another node can take it.
                leases.dispose();
            }
        }
    };
    startLoop(FailureOwner.Duty, run, options);
    return {
        leave: () => {
            isStopped = true;
            abandonWait();
        },
    };
}

/** Computes the time until the next step of any duty. */
function computePauseMs(duties: readonly Duty[]): number {
    return Math.min(STEP_PERIOD_MS, ...duties.map(duty => duty.computeDueMs?.() ?? STEP_PERIOD_MS));
}
