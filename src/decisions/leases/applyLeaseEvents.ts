/**
 * @module Applies writes, answers and reads of the lease row to the state of a lease.
 */
import {
    type LeaseObservation,
    type LeaseState,
    LeaseWriteOutcome,
    type StoredLeaseRow,
    type PendingLeaseWrite,
} from "./leaseState";

/**
 * Records that a write is about to be sent. Must be called before the write is sent, since the lease duration counts
 * from then. A release ends the node's hold on the lease immediately, since the answer may arrive late or never.
 *
 * @param state - The current state
 * @param write - The write
 * @returns The new state
 * @example
 * recordLeaseWrite(state, { token, sentAtMs: clock.readMonotonicMs(), row, expectedVersion });
 */
export function recordLeaseWrite(state: LeaseState, write: PendingLeaseWrite): LeaseState {
    const isRelease = write.row.holderId === undefined;
    const held = isRelease && state.held !== undefined ? { ...state.held, validUntilMs: write.sentAtMs } : state.held;
    return { ...state, held, sent: [...state.sent, write] };
}

/**
 * Applies the outcome of a write.
 *
 * @param state - The current state
 * @param token - The write's token
 * @param outcome - The write's outcome
 * @param options - `rowVersion`: the new row version of an accepted write; `nowMs`: monotonic milliseconds
 * @returns The new state; after `Unknown` the write stays pending until the row is read
 * @example
 * applyLeaseAnswer(state, token, LeaseWriteOutcome.Accepted, { rowVersion: 7, nowMs });
 */
export function applyLeaseAnswer(
    state: LeaseState,
    token: string,
    outcome: LeaseWriteOutcome,
    options: { readonly rowVersion?: number; readonly nowMs: number },
): LeaseState {
    return OUTCOME_HANDLERS[outcome](state, token, options);
}

type OutcomeHandler = (
    state: LeaseState,
    token: string,
    options: { readonly rowVersion?: number; readonly nowMs: number },
) => LeaseState;

const OUTCOME_HANDLERS: Readonly<Record<LeaseWriteOutcome, OutcomeHandler>> = {
    [LeaseWriteOutcome.Accepted]: (state, token, { rowVersion, nowMs }) => {
        const write = state.sent.find(candidate => candidate.token === token);
        return write === undefined || rowVersion === undefined
            ? state
            : applyCommittedWrite(state, write, { row: write.row, rowVersion, firstSeenAtMs: nowMs });
    },
    [LeaseWriteOutcome.Conflict]: (state, token) => ({ ...removePendingWrite(state, token), needsRead: true }),
    [LeaseWriteOutcome.Refused]: removePendingWrite,
    [LeaseWriteOutcome.Unknown]: state => ({ ...state, needsRead: true }),
};

/**
 * Applies a read of the row, which resolves pending writes: the one whose token is in the row has taken effect, and
 * those that are conditional on another version of the row never will.
 *
 * @param state - The current state
 * @param read - The row, or `undefined` if there is none
 * @param nowMs - Monotonic milliseconds at which the answer arrived
 * @returns The new state
 * @example
 * applyLeaseRead(state, undefined, nowMs).seen?.rowVersion; //=> undefined
 */
export function applyLeaseRead(state: LeaseState, read: StoredLeaseRow | undefined, nowMs: number): LeaseState {
    const isSameVersion = state.seen !== undefined && state.seen.rowVersion === read?.rowVersion;
    const firstSeenAtMs = isSameVersion && state.seen !== undefined ? state.seen.firstSeenAtMs : nowMs;
    const seen: LeaseObservation = { row: read?.row, rowVersion: read?.rowVersion, firstSeenAtMs };
    const ownWrite = state.sent.find(write => write.token === read?.token);
    if (ownWrite !== undefined) {
        return applyCommittedWrite(state, ownWrite, seen);
    }
    const sent = state.sent.filter(write => write.expectedVersion === read?.rowVersion);
    const held = state.held?.rowVersion === read?.rowVersion ? state.held : undefined;
    return { ...state, seen, sent, held, needsRead: false };
}

/**
 * Tells whether this node holds the lease for long enough to complete an action that requires it.
 *
 * @param state - The current state
 * @param nowMs - Monotonic milliseconds, read immediately before the action
 * @param actionMs - Longest duration of the action, in milliseconds
 * @returns True if the lease is still valid when the action ends
 * @example
 * isLeaseHeld(state, clock.readMonotonicMs(), 0);
 */
export function isLeaseHeld(state: LeaseState, nowMs: number, actionMs: number): boolean {
    return state.held !== undefined && nowMs + actionMs < state.held.validUntilMs;
}

function applyCommittedWrite(state: LeaseState, write: PendingLeaseWrite, seen: LeaseObservation): LeaseState {
    if (write.row.holderId === undefined || seen.rowVersion === undefined) {
        return { ...state, seen, held: undefined, sent: [], needsRead: false };
    }
    const isRenewal = state.held?.epoch === write.row.epoch;
    const held = {
        epoch: write.row.epoch,
        rowVersion: seen.rowVersion,
        acquiredAtMs: isRenewal && state.held !== undefined ? state.held.acquiredAtMs : write.sentAtMs,
        validUntilMs: write.sentAtMs + write.row.durationMs - state.terms.marginMs,
    };
    return { ...state, seen, held, sent: [], needsRead: false };
}

function removePendingWrite(state: LeaseState, token: string): LeaseState {
    return { ...state, sent: state.sent.filter(write => write.token !== token) };
}
