/**
 * @module Port to the platform's transactional table service.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";

/** A row of the table. */
export interface TableRow {
    readonly key: string;
    readonly value: string;
    /** Increases with every write to the row. */
    readonly version: number;
    /** Token of the transaction that wrote this version; shows whether a write with a lost response took effect. */
    readonly token: string;
}

/** Requires that the row has this version, or doesn't exist if `version` is `undefined`. */
export interface RowCondition {
    readonly key: string;
    readonly version: number | undefined;
}

/** Writes a row, or deletes it if `value` is `undefined`. */
export interface RowWrite {
    readonly key: string;
    readonly value: string | undefined;
}

/** Conditions and writes that take effect together or not at all. */
export interface TableTransaction {
    /** Unique to this attempt at this transaction. */
    readonly token: string;
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/**
 * The table service. Failures: `StoreUnavailable` (nothing took effect), `StoreConflict` (a condition did not hold;
 * nothing took effect), `StoreOutcomeUnknown` (the response was lost; the write may have taken effect).
 */
export interface TablePort {
    /** Reads one row. */
    readRow(key: string): Promise<Result<TableRow | undefined, Failure>>;
    /** Lists rows whose key begins with `prefix`, in key order, starting after `after`. */
    listRows(
        prefix: string,
        options?: { readonly after?: string; readonly limit?: number },
    ): Promise<Result<readonly TableRow[], Failure>>;
    /** Commits a transaction; gives the new version of each written row, in the order of `writes`. */
    commitTransaction(transaction: TableTransaction): Promise<Result<readonly number[], Failure>>;
}
