/**
 * @module One lease of this node: the steps that acquire, renew and release it at the store.
 */
import type { Result } from "neverthrow";
import { ulid } from "ulid";
import { assertInvariant, Invariant } from "../../../base/assertInvariant";
import type { Clock } from "../../../base/clock";
import { type Failure, FailureKind } from "../../../base/failure";
import { applyLeaseAnswer, applyLeaseRead, recordLeaseWrite } from "../../../decisions/leases/applyLeaseEvents";
import { createLeaseState } from "../../../decisions/leases/createLeaseState";
import {
    type LeaseObservation,
    type LeaseRow,
    type LeaseState,
    type LeaseTerms,
    LeaseWriteOutcome,
} from "../../../decisions/leases/leaseState";
import type { TablePort } from "../../../ports/table";
import { waitForStore } from "../../../ports/waitForStore";
import { STORE_CALL_TIMEOUT_MS } from "./constants";
import { decodeLeaseRow, toLeaseKey } from "./leaseRows";

/** What a keeper needs. */
export interface LeaseKeeperOptions {
    readonly name: string;
    readonly terms: LeaseTerms;
    readonly table: TablePort;
    readonly clock: Clock;
    /** What was seen of the row before. */
    readonly firstSeen?: LeaseObservation;
    /** Hears what is seen of the row. */
    readonly onSeen?: (observation: LeaseObservation) => void;
}

/** One lease's state and the two calls that change it. Calls are made one at a time. */
export interface LeaseKeeper {
    readState(): LeaseState;
    /**
     * Reads the monotonic milliseconds that a holder's check goes by. A VM that is suspended as a whole may find its
     * monotonic clock unmoved; where the wall clock has moved further since the last write, that counts.
     */
    readHolderMs(): number;
    /** Reads the row and settles writes whose outcome was open. */
    readFromStore(): Promise<Result<void, Failure>>;
    /** Writes the row, conditional on the version expected. */
    writeToStore(row: LeaseRow, expectedVersion: number | undefined): Promise<Result<void, Failure>>;
}

const OUTCOMES: Partial<Record<FailureKind, LeaseWriteOutcome>> = {
    [FailureKind.StoreConflict]: LeaseWriteOutcome.Conflict,
    [FailureKind.StoreUnavailable]: LeaseWriteOutcome.Refused,
};

/** Creates a keeper that knows nothing of the row yet. */
export function createLeaseKeeper(options: LeaseKeeperOptions): LeaseKeeper {
    const { name, terms, table, clock } = options;
    const key = toLeaseKey(name);
    let state: LeaseState = { ...createLeaseState(terms), seen: options.firstSeen };
    const waitBounded = <T>(call: Promise<Result<T, Failure>>): Promise<Result<T, Failure>> =>
        waitForStore(clock, call, STORE_CALL_TIMEOUT_MS);
    const setState = (next: LeaseState) => {
        const before = state.held;
        const now = next.seen?.row;
        const isOtherHolder = now?.epoch === before?.epoch && now?.holderId !== undefined;
        assertInvariant(
            before === undefined || !isOtherHolder || now?.holderId === terms.holderId,
            Invariant.OneHolderPerEpoch,
            `lease ${name}, epoch ${before?.epoch}: ${terms.holderId} and ${now?.holderId}`,
        );
        state = next;
        if (next.seen !== undefined) {
            options.onSeen?.(next.seen);
        }
    };
    const readDriftMs = () => clock.readWallMs() - clock.readMonotonicMs();
    let driftAtSendMs = readDriftMs();
    return {
        readState: () => state,
        readHolderMs: () => clock.readMonotonicMs() + Math.max(0, readDriftMs() - driftAtSendMs),
        readFromStore: async () => {
            const row = (await waitBounded(table.readRow(key))).andThen(decodeLeaseRow);
            return row.map(read => setState(applyLeaseRead(state, read, clock.readMonotonicMs())));
        },
        writeToStore: async (row, expectedVersion) => {
            const token = ulid();
            const isAlone = state.sent.length === 0;
            const driftMs = readDriftMs();
            driftAtSendMs = isAlone && state.held === undefined ? driftMs : Math.min(driftAtSendMs, driftMs);
            const transaction = {
                token,
                conditions: [{ key, version: expectedVersion }],
                writes: [{ key, value: JSON.stringify(row) }],
            };
            state = recordLeaseWrite(state, { token, sentAtMs: clock.readMonotonicMs(), row, expectedVersion });
            const answer = await waitBounded(table.commitTransaction(transaction));
            driftAtSendMs = answer.isOk() ? driftMs : driftAtSendMs;
            const outcome = answer.isOk()
                ? LeaseWriteOutcome.Accepted
                : (OUTCOMES[answer.error.kind] ?? LeaseWriteOutcome.Unknown);
            const rowVersion = answer.isOk() ? answer.value[0] : undefined;
            setState(applyLeaseAnswer(state, token, outcome, { rowVersion, nowMs: clock.readMonotonicMs() }));
            return answer.map(() => undefined);
        },
    };
}
