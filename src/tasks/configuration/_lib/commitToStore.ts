/**
 * @module Commits one configuration change to the store and resolves responses that were lost.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../../base/failure";
import { waitForStore } from "../../../ports/waitForStore";
import { COMMIT_RETRY_DELAY_MS, MAXIMUM_COMMIT_ATTEMPTS, STORE_CALL_TIMEOUT_MS } from "./constants";
import type { ConfigurationHead, StoreAccess } from "./readFromStore";
import { buildTransaction, decodeChange, type StoredChange, toChangeKey } from "./rows";

/** What the change row shows about a transaction whose response was lost. */
enum CommitOutcome {
    /** The row holds this change. */
    Accepted = "accepted",
    /** The row holds another change: another transaction won the race for the revision. */
    OtherWon = "other_won",
    /** The row is absent or could not be read. */
    Undecided = "undecided",
}

/**
 * Commits a change on top of the given head. If a response is lost, the change row tells whether the transaction took
 * effect. While that row is absent, the transaction is retried: it is conditional on the version of the head row, so at
 * most one attempt can take effect.
 *
 * @param store - The table and a clock
 * @param head - The head row against which the change was validated
 * @param change - The change; its revision is the one after the head
 * @returns The change once it is known to be committed. Failures: `StoreConflict` if another change holds its revision,
 * `StoreUnavailable` if no attempt can have taken effect, otherwise `StoreOutcomeUnknown`
 */
export async function commitToStore(
    store: StoreAccess,
    head: ConfigurationHead,
    change: StoredChange,
): Promise<Result<StoredChange, Failure>> {
    let mayHaveTakenEffect = false;
    for (let attempt = 1; attempt <= MAXIMUM_COMMIT_ATTEMPTS; attempt++) {
        const transaction = buildTransaction(change, head.rowVersion, `${change.changeId}:${attempt}`);
        const commit = store.table.commitTransaction(transaction);
        const response = await waitForStore(store.clock, commit, STORE_CALL_TIMEOUT_MS);
        if (response.isOk()) {
            return ok(change);
        }
        if (response.error.kind === FailureKind.StoreConflict && !mayHaveTakenEffect) {
            return err(response.error);
        }
        mayHaveTakenEffect ||= response.error.kind === FailureKind.StoreOutcomeUnknown;
        if (!mayHaveTakenEffect) {
            return err(response.error);
        }
        const outcome = await readCommitOutcome(store, change);
        if (outcome !== CommitOutcome.Undecided) {
            return outcome === CommitOutcome.Accepted ? ok(change) : err(createConflictFailure(change));
        }
        await store.clock.waitMs(COMMIT_RETRY_DELAY_MS);
    }
    return err(createUnknownOutcomeFailure(change));
}

async function readCommitOutcome(store: StoreAccess, change: StoredChange): Promise<CommitOutcome> {
    const read = store.table.readRow(toChangeKey(change.revision));
    const row = await waitForStore(store.clock, read, STORE_CALL_TIMEOUT_MS);
    const stored = row.isOk() && row.value !== undefined ? decodeChange(row.value.value) : undefined;
    if (stored === undefined || stored.isErr()) {
        return CommitOutcome.Undecided;
    }
    return stored.value.changeId === change.changeId ? CommitOutcome.Accepted : CommitOutcome.OtherWon;
}

function createConflictFailure(change: StoredChange): Failure {
    return createFailure(FailureKind.StoreConflict, `Revision ${change.revision} already holds another change.`);
}

function createUnknownOutcomeFailure(change: StoredChange): Failure {
    const message = `The store did not confirm the commit; the change may be in force as revision ${change.revision}.`;
    return createFailure(FailureKind.StoreOutcomeUnknown, message, {
        execution: Execution.Unknown,
        details: { revision: change.revision, changeId: change.changeId },
    });
}
