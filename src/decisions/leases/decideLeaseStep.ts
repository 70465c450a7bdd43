/**
 * @module What to do next about a lease.
 */
import { type LeaseState, type LeaseStep, LeaseStepKind } from "./leaseState";

/**
 * Decides the next step towards holding a lease. A row of another holder is taken over only after this node has seen
 * the same version of it for the whole duration plus the margin, on this node's own clock: the write that made the
 * version was sent before this node saw it, so its holder has stopped by then. No clock is compared with another one.
 *
 * @param state - What the node knows
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
 * Finds when the lease can be taken over at the earliest.
 *
 * @param state - What the node knows
 * @returns Monotonic milliseconds; minus infinity if nobody holds the lease
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
