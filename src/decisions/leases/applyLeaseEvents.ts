/**
 * @module How what happens changes the state of a lease.
 */
import {
    type LeaseObservation,
    type LeaseState,
    LeaseWriteOutcome,
    type StoredLeaseRow,
    type PendingLeaseWrite,
} from "./leaseState";

/**
 * Records that a write is about to be sent. Call it before the write leaves, since the lease counts from then. A lease
 * that is being released is no longer acted under, since the answer to the release may come late or never.
 *
 * @param state - The state before
 * @param write - The write
 * @returns The state after
 * @example
 * recordLeaseWrite(state, { token, sentAtMs: clock.readMonotonicMs(), row, expectedVersion });
 */
export function recordLeaseWrite(state: LeaseState, write: PendingLeaseWrite): LeaseState {
    const isRelease = write.row.holderId === undefined;
    const held = isRelease && state.held !== undefined ? { ...state.held, validUntilMs: write.sentAtMs } : state.held;
    return { ...state, held, sent: [...state.sent, write] };
}

/**
 * Takes in how a write ended.
 *
 * @param state - The state before
 * @param token - The write's token
 * @param outcome - How it ended
 * @param options - `rowVersion`: the version written, of an accepted write; `nowMs`: monotonic milliseconds
 * @returns The state after; after `Unknown` the write stays open until the row is read
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
            : takeEffect(state, write, { row: write.row, rowVersion, firstSeenAtMs: nowMs });
    },
    [LeaseWriteOutcome.Conflict]: (state, token) => ({ ...removeWrite(state, token), needsRead: true }),
    [LeaseWriteOutcome.Refused]: removeWrite,
    [LeaseWriteOutcome.Unknown]: state => ({ ...state, needsRead: true }),
};

/**
 * Takes in the row as read. It settles open writes: one that wrote the row has taken effect, and once the row has
 * another version than they expect, the others never will.
 *
 * @param state - The state before
 * @param read - The row, or `undefined` if there is none
 * @param nowMs - Monotonic milliseconds at which the answer arrived
 * @returns The state after
 * @example
 * applyLeaseRead(state, undefined, nowMs).seen?.rowVersion; //=> undefined
 */
export function applyLeaseRead(state: LeaseState, read: StoredLeaseRow | undefined, nowMs: number): LeaseState {
    const isSameVersion = state.seen !== undefined && state.seen.rowVersion === read?.rowVersion;
    const firstSeenAtMs = isSameVersion && state.seen !== undefined ? state.seen.firstSeenAtMs : nowMs;
    const seen: LeaseObservation = { row: read?.row, rowVersion: read?.rowVersion, firstSeenAtMs };
    const own = state.sent.find(write => write.token === read?.token);
    if (own !== undefined) {
        return takeEffect(state, own, seen);
    }
    const sent = state.sent.filter(write => write.expectedVersion === read?.rowVersion);
    const held = state.held?.rowVersion === read?.rowVersion ? state.held : undefined;
    return { ...state, seen, sent, held, needsRead: false };
}

/**
 * Tells whether the lease may be acted under.
 *
 * @param state - What the node knows
 * @param nowMs - Monotonic milliseconds, read right before the effect
 * @param effectMs - How long the effect takes at most, in milliseconds
 * @returns True if the lease is still valid when the effect ends
 * @example
 * isLeaseHeld(state, clock.readMonotonicMs(), 0);
 */
export function isLeaseHeld(state: LeaseState, nowMs: number, effectMs: number): boolean {
    return state.held !== undefined && nowMs + effectMs < state.held.validUntilMs;
}

function takeEffect(state: LeaseState, write: PendingLeaseWrite, seen: LeaseObservation): LeaseState {
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

function removeWrite(state: LeaseState, token: string): LeaseState {
    return { ...state, sent: state.sent.filter(write => write.token !== token) };
}
