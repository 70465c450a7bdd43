/**
 * @module Decides the next step to acquire or renew a lease.
 */
import { type LeaseState, type LeaseStep, LeaseStepKind } from "./leaseState";

/**
 * Decides the next step to acquire or renew a lease. A lease held by another node is taken over only after this node
 * has seen the same row version for the full duration plus the margin by its own clock: the holder sent the write of
 * that version before this node saw it, so its lease has expired by then. No two clocks are ever compared.
 *
 * @param state - The current state
 * @param nowMs - Monotonic milliseconds
 * @returns The step
 * @example
 * decideLeaseStep(state, clock.readMonotonicMs()).kind;
 */
export function decideLeaseStep(state: LeaseState, nowMs: number): LeaseStep {
    const { seen, held, terms } = state;
    if (state.needsRead || seen === undefined) {
        return { kind: LeaseStepKind.Read };
    }
    if (held !== undefined && nowMs < held.validUntilMs) {
        const row = { holderId: terms.holderId, epoch: held.epoch, durationMs: terms.durationMs };
        return { kind: LeaseStepKind.Write, row, expectedVersion: held.rowVersion };
    }
    const takeoverAtMs = findTakeoverMs(state);
    if (nowMs < takeoverAtMs) {
        return { kind: LeaseStepKind.Wait, untilMs: takeoverAtMs };
    }
    const epoch = (seen.row?.epoch ?? 0) + 1;
    const row = { holderId: terms.holderId, epoch, durationMs: terms.durationMs };
    return { kind: LeaseStepKind.Write, row, expectedVersion: seen.rowVersion };
}

/**
 * Finds the earliest time at which the lease can be taken over.
 *
 * @param state - The current state
 * @returns Monotonic milliseconds; negative infinity if no node holds the lease
 * @example
 * findTakeoverMs(state) <= nowMs;
 */
export function findTakeoverMs(state: LeaseState): number {
    const { seen, terms } = state;
    if (seen?.row?.holderId === undefined) {
        return Number.NEGATIVE_INFINITY;
    }
    return seen.firstSeenAtMs + seen.row.durationMs + terms.marginMs;
}
