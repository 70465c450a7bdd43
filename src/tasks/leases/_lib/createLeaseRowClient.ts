/**
 * @module Access to the row of one lease: the reads and conditional writes that acquire, renew and release it.
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

/** Dependencies of a lease row client. */
export interface LeaseRowClientOptions {
    readonly name: string;
    readonly terms: LeaseTerms;
    readonly table: TablePort;
    readonly clock: Clock;
    /** The row as observed by an earlier client, if any. */
    readonly initialObservation?: LeaseObservation;
    /** Called with each observation of the row. */
    readonly onObservation?: (observation: LeaseObservation) => void;
}

/** State of one lease and the two store calls that change it. The caller makes one call at a time. */
export interface LeaseRowClient {
    readState(): LeaseState;
    /**
     * Reads the monotonic milliseconds against which a holder checks its lease. While a whole VM is suspended, its
     * monotonic clock may stand still; the time by which the wall clock has advanced further since the last confirmed
     * write is therefore added.
     */
    readSuspendAwareMs(): number;
    /** Reads the row and resolves writes whose outcome was unknown. */
    readFromStore(): Promise<Result<void, Failure>>;
    /** Writes the row on the condition that it still has the expected version. */
    writeToStore(row: LeaseRow, expectedVersion: number | undefined): Promise<Result<void, Failure>>;
}

const OUTCOMES: Partial<Record<FailureKind, LeaseWriteOutcome>> = {
    [FailureKind.StoreConflict]: LeaseWriteOutcome.Conflict,
    [FailureKind.StoreUnavailable]: LeaseWriteOutcome.Refused,
};

/** Creates a client that has not read the row yet. */
export function createLeaseRowClient(options: LeaseRowClientOptions): LeaseRowClient {
    const { name, terms, table, clock } = options;
    const key = toLeaseKey(name);
    let state: LeaseState = { ...createLeaseState(terms), seen: options.initialObservation };
    const waitWithTimeout = <T>(call: Promise<Result<T, Failure>>): Promise<Result<T, Failure>> =>
        waitForStore(clock, call, STORE_CALL_TIMEOUT_MS);
    const setState = (next: LeaseState) => {
        const before = state.held;
        const seenRow = next.seen?.row;
        const isSameEpoch = seenRow?.epoch === before?.epoch && seenRow?.holderId !== undefined;
        assertInvariant(
            before === undefined || !isSameEpoch || seenRow?.holderId === terms.holderId,
            Invariant.OneHolderPerEpoch,
            `lease ${name}, epoch ${before?.epoch}: ${terms.holderId} and ${seenRow?.holderId}`,
        );
        state = next;
        if (next.seen !== undefined) {
            options.onObservation?.(next.seen);
        }
    };
    const readClockOffsetMs = () => clock.readWallMs() - clock.readMonotonicMs();
    let clockOffsetAtWriteMs = readClockOffsetMs();
    return {
        readState: () => state,
        readSuspendAwareMs: () => clock.readMonotonicMs() + Math.max(0, readClockOffsetMs() - clockOffsetAtWriteMs),
        readFromStore: async () => {
            const row = (await waitWithTimeout(table.readRow(key))).andThen(decodeLeaseRow);
            return row.map(read => setState(applyLeaseRead(state, read, clock.readMonotonicMs())));
        },
        writeToStore: async (row, expectedVersion) => {
            const token = ulid();
            const hasNoPendingWrite = state.sent.length === 0;
            const clockOffsetMs = readClockOffsetMs();
            clockOffsetAtWriteMs =
                hasNoPendingWrite && state.held === undefined
                    ? clockOffsetMs
                    : Math.min(clockOffsetAtWriteMs, clockOffsetMs);
            const transaction = {
                token,
                conditions: [{ key, version: expectedVersion }],
                writes: [{ key, value: JSON.stringify(row) }],
            };
            state = recordLeaseWrite(state, { token, sentAtMs: clock.readMonotonicMs(), row, expectedVersion });
            const answer = await waitWithTimeout(table.commitTransaction(transaction));
            clockOffsetAtWriteMs = answer.isOk() ? clockOffsetMs : clockOffsetAtWriteMs;
            const outcome = answer.isOk()
                ? LeaseWriteOutcome.Accepted
                : (OUTCOMES[answer.error.kind] ?? LeaseWriteOutcome.Unknown);
            const rowVersion = answer.isOk() ? answer.value[0] : undefined;
            setState(applyLeaseAnswer(state, token, outcome, { rowVersion, nowMs: clock.readMonotonicMs() }));
            return answer.map(() => undefined);
        },
    };
}
