/**
 * @module How tasks write rows in groups: many entries, one transaction.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { RowCondition, RowWrite } from "../../ports/table";

/** Writes that take effect together or not at all. Each written row must have a condition. */
export interface CommitEntry {
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/** Handle of the group commit. */
export interface CommitClient {
    /**
     * Commits an entry, in one transaction with others. Gives the new version of each written row; a version is
     * `undefined` where the row was read back after a lost answer and has changed since. Failures as in `TablePort`;
     * `StoreOutcomeUnknown` only after reading back did not settle it.
     */
    commitEntry(entry: CommitEntry): Promise<Result<readonly (number | undefined)[], Failure>>;
}
