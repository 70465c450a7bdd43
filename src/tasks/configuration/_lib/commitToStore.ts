/**
 * @module Committing one change, with lost answers read back before anything is concluded.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../../base/failure";
import { waitForStore } from "../../../ports/waitForStore";
import { COMMIT_RETRY_DELAY_MS, COMMIT_TRIES, STORE_CALL_TIMEOUT_MS } from "./constants";
import type { Head, StoreAccess } from "./readFromStore";
import { buildTransaction, decodeChange, type StoredChange, toChangeKey } from "./rows";

/** What reading a change row back shows about one's own transaction. */
enum ReadBack {
    Accepted = "accepted",
    OtherWon = "other_won",
    Undecided = "undecided",
}

/**
 * Commits a change on top of the given head. While an answer is lost and the revision's row is still absent, the same
 * transaction is sent again: it is conditional on the head row, so at most one try can take effect.
 *
 * @param store - The store
 * @param head - The head row that the change was checked against
 * @param change - The change, at the revision after the head
 * @returns The change once it is known to be accepted; `StoreConflict` once another is known to hold its revision;
 * `StoreUnavailable` if no try can have taken effect; else `StoreOutcomeUnknown`
 */
export async function commitToStore(
    store: StoreAccess,
    head: Head,
    change: StoredChange,
): Promise<Result<StoredChange, Failure>> {
    let mayHaveTakenEffect = false;
    for (let attempt = 1; attempt <= COMMIT_TRIES; attempt++) {
        const transaction = buildTransaction(change, head.rowVersion, `${change.changeId}:${attempt}`);
        const sending = store.table.commitTransaction(transaction);
        const answer = await waitForStore(store.clock, sending, STORE_CALL_TIMEOUT_MS);
        if (answer.isOk()) {
            return ok(change);
        }
        if (answer.error.kind === FailureKind.StoreConflict && !mayHaveTakenEffect) {
            return err(answer.error);
        }
        mayHaveTakenEffect ||= answer.error.kind === FailureKind.StoreOutcomeUnknown;
        if (!mayHaveTakenEffect) {
            return err(answer.error);
        }
        const seen = await readBack(store, change);
        if (seen !== ReadBack.Undecided) {
            return seen === ReadBack.Accepted ? ok(change) : err(createLostRace(change));
        }
        await store.clock.waitMs(COMMIT_RETRY_DELAY_MS);
    }
    return err(createUnknownOutcome(change));
}

async function readBack(store: StoreAccess, change: StoredChange): Promise<ReadBack> {
    const reading = store.table.readRow(toChangeKey(change.revision));
    const row = await waitForStore(store.clock, reading, STORE_CALL_TIMEOUT_MS);
    const stored = row.isOk() && row.value !== undefined ? decodeChange(row.value.value) : undefined;
    if (stored === undefined || stored.isErr()) {
        return ReadBack.Undecided;
    }
    return stored.value.changeId === change.changeId ? ReadBack.Accepted : ReadBack.OtherWon;
}

function createLostRace(change: StoredChange): Failure {
    return createFailure(FailureKind.StoreConflict, `Revision ${change.revision} holds another change.`);
}

function createUnknownOutcome(change: StoredChange): Failure {
    const message = `The store lost its answers; the change may be in force as revision ${change.revision}.`;
    return createFailure(FailureKind.StoreOutcomeUnknown, message, {
        execution: Execution.Unknown,
        details: { revision: change.revision, changeId: change.changeId },
    });
}
