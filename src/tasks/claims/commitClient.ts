/**
 * @module Interface of the group commit, which combines the writes of many requests in one transaction.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { RowCondition, RowWrite } from "../../ports/table";

/** Writes that take effect atomically. Each written row must have a condition. */
export interface CommitEntry {
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/** Client of the group commit. */
export interface CommitClient {
    /**
     * Commits an entry in one transaction with others. Returns the new version of each written row. A version is
     * `undefined` if the store's response was lost and, when the row was read back, it had changed again or could not
     * be read. Failures are those of `TablePort`; `StoreOutcomeUnknown` only if reading back did not show the outcome.
     */
    commitEntry(entry: CommitEntry): Promise<Result<readonly (number | undefined)[], Failure>>;
}
