/**
 * @module Tables of the platform's store that a node follows.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";

/** A row, or the fact that it was removed. */
export interface WatchedRow {
    readonly key: string;
    /** Absent if the row was removed. */
    readonly value: string | undefined;
    readonly version: number;
}

/** Rows as of one moment. */
export interface TableRows {
    readonly rows: readonly WatchedRow[];
    /** Revision of the store up to which the rows are complete. */
    readonly revision: number;
    /** The store's steady clock in milliseconds. */
    readonly storeNowMs: number;
}

/** Following tables. Failures: `StoreUnavailable`; `HistoryLost` where a revision is too old to go on from. */
export interface WatchedTablePort {
    /** Reads a whole table. */
    readTable(table: string): Promise<Result<TableRows, Failure>>;
    /** Waits for changes after `revision`, for at most `waitMs`; gives no rows if there were none. */
    waitForChanges(table: string, revision: number, waitMs: number): Promise<Result<TableRows, Failure>>;
}
